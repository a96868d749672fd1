use {
    crate::control::{control_program::ControlContext, ControlError},
    cassiafield::{process::SettingError, version::ListFile},
    cassiafield_core::version::{FleetLists, ListChange, PlanDraft, PlanLimits},
    compact_str::CompactString,
    serde_json::{json, Value},
    std::{fmt::Write as _, fs, str::FromStr},
};

/// Limits of a new plan where the command line sets none.
const DEFAULT_LIMITS: &str = "\
request_rate = 10\nrequest_burst = 100\ntoken_rate = 1000\ntoken_burst = 10000\n\
concurrent = 16\nmax_tokens = 1024\nweight = 1\nmodels =\nservices =\n";

pub(crate) fn list_plans(context: &ControlContext) -> Result<String, ControlError> {
    let version = context.editor.read()?;
    if context.json {
        return Ok(format!("{:#}\n", json!(version.lists.plans)));
    }
    let mut text = String::new();
    for (plan, entry) in &version.lists.plans {
        let limits = &entry.limits;
        let _ = writeln!(
            text,
            "{plan} (version {}): {}/s requests, burst {}; {}/s tokens, burst {}; {} concurrent; \
             max_tokens {}; weight {}",
            entry.version,
            limits.request_rate,
            limits.request_burst,
            limits.token_rate,
            limits.token_burst,
            limits.concurrent,
            limits.max_tokens,
            limits.weight
        );
    }
    Ok(text)
}

pub(crate) fn list_organisations(context: &ControlContext) -> Result<String, ControlError> {
    let version = context.editor.read()?;
    if context.json {
        return Ok(format!("{:#}\n", json!(version.lists.organisations)));
    }
    let mut text = String::new();
    for (organisation, entry) in &version.lists.organisations {
        let keys = entry.key_hashes.len();
        let _ = writeln!(
            text,
            "{organisation} (version {}): plan {}, {keys} keys",
            entry.version, entry.plan
        );
    }
    Ok(text)
}

/// Creates a plan, or changes the given limits of an existing one and keeps the others.
///
/// Without `--base` the edit is conditional on the version read here, so that a concurrent edit of
/// the plan is not overwritten.
pub(crate) fn set_plan(
    context: &ControlContext,
    name: &str,
    values: &[&str],
) -> Result<String, ControlError> {
    let version = context.editor.read()?;
    let plan = parse_name(name)?;
    let old = version.lists.plans.get(&plan);
    let read_version = old.map_or(0, |entry| entry.version);
    let limits = merge_limits(old.map(|entry| &entry.limits), values)?;
    let base = context.base()?.or(Some(read_version));
    context.submit(ListChange::SetPlan { plan, limits, base })
}

pub(crate) fn remove_plan(context: &ControlContext, name: &str) -> Result<String, ControlError> {
    let plan = parse_name(name)?;
    context.submit(ListChange::RemovePlan { plan, base: context.base()? })
}

pub(crate) fn set_organisation(
    context: &ControlContext,
    name: &str,
) -> Result<String, ControlError> {
    let version = context.editor.read()?;
    let organisation = parse_name(name)?;
    let old = version.lists.organisations.get(&organisation);
    let plan = match context.matches.opt_str("plan") {
        Some(plan) => parse_name(&plan)?,
        None => match old {
            Some(old) => old.plan.clone(),
            None => return Err(ControlError::Usage("--plan is missing".into())),
        },
    };
    let hashes = context.matches.opt_strs("key-hash");
    for hash in &hashes {
        check_hash(hash)?;
    }
    let key_hashes = if hashes.is_empty() {
        old.map(|old| old.key_hashes.clone()).unwrap_or_default()
    } else {
        hashes.iter().map(|hash| CompactString::from(hash.to_ascii_lowercase())).collect()
    };
    let base = context.base()?.or(Some(old.map_or(0, |old| old.version)));
    context.submit(ListChange::SetOrganisation { organisation, plan, key_hashes, base })
}

pub(crate) fn remove_organisation(
    context: &ControlContext,
    name: &str,
) -> Result<String, ControlError> {
    let organisation = parse_name(name)?;
    context.submit(ListChange::RemoveOrganisation { organisation, base: context.base()? })
}

/// Replaces zones, plans and organisations by those of the file in one edit.
///
/// Rejects the file if the lists have changed since the revision that it was made from.
pub(crate) fn apply(context: &ControlContext, file: &str) -> Result<String, ControlError> {
    let text = fs::read_to_string(file)
        .map_err(|error| ControlError::Usage(format!("{file}: {error}")))?;
    let desired = ListFile::parse(file, &text).map_err(ControlError::InvalidInput)?;
    let version = context.editor.read()?;
    if let Some(base) = desired.base {
        if base != version.revision {
            return Err(ControlError::Refused(format!(
                "{file}: made from revision {base}, the lists are at {}; last edit: {}",
                version.revision,
                last_edit(&version.lists)
            )));
        }
    }
    match desired.changes(&version.lists) {
        Some(change) => context.submit(change),
        None => Ok("nothing to change\n".into()),
    }
}

pub(crate) fn export(context: &ControlContext) -> Result<String, ControlError> {
    let version = context.editor.read()?;
    if context.json {
        let lists = &version.lists;
        let document = json!({
            "revision": version.revision,
            "zones": lists.zones,
            "plans": lists.plans,
            "organisations": lists.organisations,
        });
        return Ok(format!("{document:#}\n"));
    }
    Ok(ListFile::export(&version))
}

fn last_edit(lists: &FleetLists) -> String {
    lists
        .edits
        .back()
        .map_or_else(|| "none".into(), |edit| format!("{} by {}", edit.summary, edit.author))
}

fn parse_name<T: FromStr<Err = cassiafield_core::ids::IdError>>(
    name: &str,
) -> Result<T, ControlError> {
    name.parse().map_err(|error| ControlError::Usage(format!("{name:?}: {error}")))
}

fn check_hash(hash: &str) -> Result<(), ControlError> {
    if hash.len() == 64 && hash.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Ok(());
    }
    let text =
        format!("--key-hash: expected 64 hexadecimal digits, found {} characters", hash.len());
    Err(ControlError::Usage(text))
}

fn merge_limits(old: Option<&PlanLimits>, values: &[&str]) -> Result<PlanLimits, ControlError> {
    let mut document = match old {
        Some(limits) => json!(PlanDraft::from(limits.clone())),
        None => default_limits(),
    };
    let mut errors = Vec::new();
    for value in values {
        let Some((key, text)) = value.split_once('=') else {
            return Err(ControlError::Usage(format!("{value:?}: expected KEY=VALUE")));
        };
        match parse_limit(key, text) {
            Some(parsed) if !document[key].is_null() => document[key] = parsed,
            _ => errors.push(argument_error(key, "a plan limit with a valid value", text)),
        }
    }
    if !errors.is_empty() {
        return Err(ControlError::InvalidInput(errors));
    }
    let draft: PlanDraft = serde_json::from_value(document)
        .map_err(|error| ControlError::Usage(format!("plan set: {error}")))?;
    PlanLimits::try_from(draft).map_err(|error| {
        let found = error.found.to_string();
        ControlError::InvalidInput(vec![argument_error(error.field, error.expected, &found)])
    })
}

fn argument_error(key: &str, expected: &str, found: &str) -> SettingError {
    SettingError {
        file: "command line".into(),
        line: 1,
        section: "plan".into(),
        key: key.into(),
        expected: expected.into(),
        found: Some(found.into()),
    }
}

fn parse_limit(key: &str, text: &str) -> Option<Value> {
    match key {
        "models" | "services" => {
            let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
            Some(names.collect::<Vec<_>>().into())
        }
        "concurrent" | "max_tokens" | "weight" => text.parse::<u32>().ok().map(Value::from),
        _ => text.parse::<f64>().ok().map(Value::from),
    }
}

fn default_limits() -> Value {
    let mut document = json!({});
    for line in DEFAULT_LIMITS.lines() {
        if let Some((key, text)) = line.split_once('=') {
            let (key, text) = (key.trim(), text.trim());
            document[key] = parse_limit(key, text).unwrap_or_default();
        }
    }
    document
}
