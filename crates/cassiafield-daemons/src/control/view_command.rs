use {
    crate::control::{control_program::ControlContext, ControlError},
    cassiafield::{
        process::{ReportFormat, UsageReport},
        request::hash_bearer_key,
    },
    serde_json::{json, Value},
    std::{fmt::Write as _, io::Read as _, time::Duration},
};

/// Hours that the usage report covers by default.
const DEFAULT_HOURS: u64 = 24;
/// Longest wait for one host's state.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Prints the hash of a key read from standard input.
///
/// Taking the key as an argument would leave it in the shell history.
pub(crate) fn key_hash() -> Result<String, ControlError> {
    let mut key = String::new();
    std::io::stdin()
        .read_to_string(&mut key)
        .map_err(|error| ControlError::Usage(format!("standard input: {error}")))?;
    if key.trim().is_empty() {
        return Err(ControlError::Usage("standard input: expected a key".into()));
    }
    Ok(format!("{}\n", hash_bearer_key(&key)))
}

pub(crate) fn history(context: &ControlContext) -> Result<String, ControlError> {
    let version = context.editor.read()?;
    if context.json {
        let edits: Vec<Value> = version
            .lists
            .edits
            .iter()
            .map(|edit| {
                let id = format!("{:032x}", edit.id);
                json!({ "id": id, "author": edit.author, "summary": edit.summary })
            })
            .collect();
        return Ok(format!("{:#}\n", json!(edits)));
    }
    let mut text = String::new();
    for edit in &version.lists.edits {
        let _ = writeln!(text, "{:032x} {}: {}", edit.id, edit.author, edit.summary);
    }
    Ok(text)
}

/// Queries the state of each host, one after the other.
///
/// A host that does not answer is listed without a state.
pub(crate) fn status(context: &ControlContext) -> Result<String, ControlError> {
    let hosts = context.matches.opt_str("hosts");
    let hosts = hosts.ok_or_else(|| ControlError::Usage("--hosts is missing".into()))?;
    let agent = ureq::AgentBuilder::new().timeout(STATUS_TIMEOUT).build();
    let mut states = Vec::new();
    for address in hosts.split(',').map(str::trim).filter(|address| !address.is_empty()) {
        let result = agent.get(&format!("http://{address}/status")).call();
        let state = result.ok().and_then(|response| response.into_json::<Value>().ok());
        states.push((address.to_owned(), state));
    }
    if context.json {
        let document: Vec<Value> = states
            .iter()
            .map(|(address, state)| json!({ "address": address, "state": state }))
            .collect();
        return Ok(format!("{:#}\n", json!(document)));
    }
    Ok(states.iter().map(|(address, state)| status_line(address, state.as_ref())).collect())
}

fn status_line(address: &str, state: Option<&Value>) -> String {
    let Some(state) = state else { return format!("{address}: does not answer\n") };
    let endpoints = state["endpoints"].as_array().map_or(&[][..], Vec::as_slice);
    let count_flagged =
        |flag: &str| endpoints.iter().filter(|endpoint| endpoint[flag] == true).count();
    format!(
        "{address}: {} in {}, revision {}, ready {}, ordinal {}, spending {}, {} endpoints \
         ({} suspect, {} leaving)\n",
        state["host"].as_str().unwrap_or("?"),
        state["zone"].as_str().unwrap_or("?"),
        state["revision"],
        state["ready"],
        state["ordinal"],
        state["spending"],
        endpoints.len(),
        count_flagged("suspect"),
        count_flagged("leaving"),
    )
}

pub(crate) fn report(context: &ControlContext) -> Result<String, ControlError> {
    let hours = match context.matches.opt_str("hours") {
        Some(text) => text.parse().map_err(|_| {
            ControlError::Usage(format!("--hours: expected a whole number, found {text:?}"))
        })?,
        None => DEFAULT_HOURS,
    };
    let format = match context.matches.opt_str("format") {
        Some(text) => {
            text.parse().map_err(|error| ControlError::Usage(format!("--format: {error}")))?
        }
        None if context.json => ReportFormat::Json,
        None => ReportFormat::Text,
    };
    let report = UsageReport::read(context.store.as_ref(), hours)?;
    Ok(report.render(format))
}
