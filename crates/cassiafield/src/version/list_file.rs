use {
    crate::{process::SettingError, version::ListVersion},
    cassiafield_core::{
        ids::{ListRevision, ModelId, OrganisationId, PlanId, ServiceId},
        version::{FleetLists, ListChange, PlanDraft, PlanLimits, ZoneShare},
    },
    compact_str::CompactString,
    ini::{Ini, Properties},
    std::{collections::BTreeMap, fmt::Write as _, str::FromStr},
};

/// A validated INI file of the operators' lists.
///
/// The file has a section for each availability zone, plan and organisation, and the revision of
/// the lists from which it was exported.
#[derive(Clone, Debug, PartialEq)]
pub struct ListFile {
    /// Revision from which the file was exported; `None` for a file written by hand.
    pub base: Option<ListRevision>,
    /// Availability zones.
    pub zones: Vec<ZoneShare>,
    /// Plans.
    pub plans: BTreeMap<PlanId, PlanLimits>,
    /// Organisations with their plan and key hashes.
    pub organisations: BTreeMap<OrganisationId, (PlanId, Vec<CompactString>)>,
}

impl ListFile {
    /// Parses and validates the text of a file; `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        let mut reader = FileReader { file, text, errors: Vec::new() };
        let list_file = reader.read();
        match list_file {
            Some(list_file) if reader.errors.is_empty() => Ok(list_file),
            _ => Err(reader.errors),
        }
    }

    /// Formats a version of the lists as a file.
    #[must_use]
    pub fn export(version: &ListVersion) -> String {
        let mut text = format!("[lists]\nrevision = {}\n", version.revision);
        for share in &version.lists.zones {
            let _ = write!(
                text,
                "\n[zone {}]\nhosts = {}\nweight = {}\n",
                share.zone, share.hosts, share.weight
            );
        }
        for (plan, entry) in &version.lists.plans {
            write_plan(&mut text, plan, &entry.limits);
        }
        for (organisation, entry) in &version.lists.organisations {
            let hashes = entry.key_hashes.join(", ");
            let _ = write!(
                text,
                "\n[organisation {organisation}]\nplan = {}\nkey_hashes = {hashes}\n",
                entry.plan
            );
        }
        text
    }

    /// Returns the changes that make the lists equal to the file, or `None` if they are equal.
    ///
    /// Each change carries the version of the entry that it replaces, so that a concurrent edit of
    /// the entry is detected.
    #[must_use]
    pub fn changes(&self, lists: &FleetLists) -> Option<ListChange> {
        let mut changes = Vec::new();
        if self.zones != lists.zones {
            changes.push(ListChange::SetZones(self.zones.clone()));
        }
        for (plan, limits) in &self.plans {
            let old = lists.plans.get(plan);
            if old.is_none_or(|old| &old.limits != limits) {
                let base = Some(old.map_or(0, |old| old.version));
                changes.push(ListChange::SetPlan {
                    plan: plan.clone(),
                    limits: limits.clone(),
                    base,
                });
            }
        }
        for (organisation, (plan, key_hashes)) in &self.organisations {
            let old = lists.organisations.get(organisation);
            if old.is_none_or(|old| &old.plan != plan || &old.key_hashes != key_hashes) {
                changes.push(ListChange::SetOrganisation {
                    organisation: organisation.clone(),
                    plan: plan.clone(),
                    key_hashes: key_hashes.clone(),
                    base: Some(old.map_or(0, |old| old.version)),
                });
            }
        }
        for (organisation, old) in &lists.organisations {
            if !self.organisations.contains_key(organisation) {
                let (organisation, base) = (organisation.clone(), Some(old.version));
                changes.push(ListChange::RemoveOrganisation { organisation, base });
            }
        }
        for (plan, old) in &lists.plans {
            if !self.plans.contains_key(plan) {
                changes
                    .push(ListChange::RemovePlan { plan: plan.clone(), base: Some(old.version) });
            }
        }
        (!changes.is_empty()).then_some(ListChange::Batch(changes))
    }
}

fn write_plan(text: &mut String, plan: &PlanId, limits: &PlanLimits) {
    let names = |names: Vec<&str>| names.join(", ");
    let models = names(limits.models.iter().map(ModelId::as_str).collect());
    let services = names(limits.services.iter().map(ServiceId::as_str).collect());
    let _ = write!(
        text,
        "\n[plan {plan}]\nrequest_rate = {}\nrequest_burst = {}\ntoken_rate = {}\n\
         token_burst = {}\nconcurrent = {}\nmax_tokens = {}\nweight = {}\nmodels = {models}\n\
         services = {services}\n",
        limits.request_rate,
        limits.request_burst,
        limits.token_rate,
        limits.token_burst,
        limits.concurrent,
        limits.max_tokens,
        limits.weight,
    );
}

/// Parses a file and collects its errors.
struct FileReader<'a> {
    file: &'a str,
    text: &'a str,
    errors: Vec<SettingError>,
}

impl FileReader<'_> {
    fn read(&mut self) -> Option<ListFile> {
        let ini = match Ini::load_from_str(self.text) {
            Ok(ini) => ini,
            Err(error) => {
                self.report_at(error.line + 1, "", "", "an INI file", Some(error.msg.to_string()));
                return None;
            }
        };
        let mut list_file = ListFile {
            base: None,
            zones: Vec::new(),
            plans: BTreeMap::new(),
            organisations: BTreeMap::new(),
        };
        for (section, properties) in &ini {
            let Some(section) = section else { continue };
            match section.split_once(' ') {
                Some(("zone", name)) => self.read_zone(&mut list_file, section, name, properties),
                Some(("plan", name)) => self.read_plan(&mut list_file, section, name, properties),
                Some(("organisation", name)) => {
                    self.read_organisation(&mut list_file, section, name, properties);
                }
                None if section == "lists" => {
                    list_file.base =
                        self.parse_value(section, properties, "revision").map(ListRevision);
                }
                _ => self.report(
                    section,
                    "",
                    "[lists], [zone NAME], [plan NAME] or [organisation NAME]",
                    Some(section.to_owned()),
                ),
            }
        }
        Some(list_file)
    }

    fn read_zone(
        &mut self,
        list_file: &mut ListFile,
        section: &str,
        name: &str,
        properties: &Properties,
    ) {
        self.check_keys(section, properties, &["hosts", "weight"]);
        let zone = self.parse_name(section, name);
        let hosts = self.parse_value(section, properties, "hosts");
        let weight = self.parse_value(section, properties, "weight");
        if let (Some(zone), Some(hosts), Some(weight)) = (zone, hosts, weight) {
            list_file.zones.push(ZoneShare { zone, hosts, weight });
        }
    }

    fn read_plan(
        &mut self,
        list_file: &mut ListFile,
        section: &str,
        name: &str,
        properties: &Properties,
    ) {
        const KEYS: &[&str] = &[
            "request_rate",
            "request_burst",
            "token_rate",
            "token_burst",
            "concurrent",
            "max_tokens",
            "weight",
            "models",
            "services",
        ];
        self.check_keys(section, properties, KEYS);
        let plan = self.parse_name(section, name);
        let Some(draft) = self.read_draft(section, properties) else { return };
        match (plan, PlanLimits::try_from(draft)) {
            (Some(plan), Ok(limits)) => {
                list_file.plans.insert(plan, limits);
            }
            (_, Err(error)) => {
                self.report(section, error.field, error.expected, Some(error.found.to_string()));
            }
            _ => {}
        }
    }

    fn read_draft(&mut self, section: &str, properties: &Properties) -> Option<PlanDraft> {
        let request_rate = self.parse_value(section, properties, "request_rate");
        let request_burst = self.parse_value(section, properties, "request_burst");
        let token_rate = self.parse_value(section, properties, "token_rate");
        let token_burst = self.parse_value(section, properties, "token_burst");
        let concurrent = self.parse_value(section, properties, "concurrent");
        let max_tokens = self.parse_value(section, properties, "max_tokens");
        let weight = self.parse_value(section, properties, "weight");
        let models = self.parse_names(section, properties, "models");
        let services = self.parse_names(section, properties, "services");
        Some(PlanDraft {
            request_rate: request_rate?,
            request_burst: request_burst?,
            token_rate: token_rate?,
            token_burst: token_burst?,
            concurrent: concurrent?,
            max_tokens: max_tokens?,
            weight: weight?,
            models: models?.into_iter().collect(),
            services: services?.into_iter().collect(),
        })
    }

    fn read_organisation(
        &mut self,
        list_file: &mut ListFile,
        section: &str,
        name: &str,
        properties: &Properties,
    ) {
        self.check_keys(section, properties, &["plan", "key_hashes"]);
        let organisation = self.parse_name(section, name);
        let plan = self.parse_value(section, properties, "plan");
        let hashes = split_list(properties.get("key_hashes").unwrap_or(""));
        for hash in &hashes {
            if hash.len() != 64 || !hash.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                let expected =
                    "SHA-256 hashes of 64 hexadecimal digits; see cassiafield-ctl key-hash";
                self.report(section, "key_hashes", expected, Some((*hash).to_owned()));
            }
        }
        if let (Some(organisation), Some(plan)) = (organisation, plan) {
            let hashes = hashes.into_iter().map(|hash| hash.to_ascii_lowercase().into()).collect();
            list_file.organisations.insert(organisation, (plan, hashes));
        }
    }

    fn parse_name<T: FromStr>(&mut self, section: &str, name: &str) -> Option<T> {
        let parsed = name.trim().parse().ok();
        if parsed.is_none() {
            self.report(section, "", "a name", Some(name.to_owned()));
        }
        parsed
    }

    fn parse_value<T: FromStr>(
        &mut self,
        section: &str,
        properties: &Properties,
        key: &str,
    ) -> Option<T> {
        let raw = properties.get(key);
        let parsed = raw.and_then(|raw| raw.parse().ok());
        if parsed.is_none() {
            self.report(section, key, "a value in range", raw.map(str::to_owned));
        }
        parsed
    }

    fn parse_names<T: FromStr>(
        &mut self,
        section: &str,
        properties: &Properties,
        key: &str,
    ) -> Option<Vec<T>> {
        let raw = properties.get(key).unwrap_or("");
        let parsed = split_list(raw).into_iter().map(str::parse).collect::<Result<_, _>>().ok();
        if parsed.is_none() {
            self.report(section, key, "names, separated by commas", Some(raw.to_owned()));
        }
        parsed
    }

    fn check_keys(&mut self, section: &str, properties: &Properties, known: &[&str]) {
        for (key, value) in properties {
            if !known.contains(&key) {
                let expected = format!("one of {}", known.join(", "));
                self.report(section, key, &expected, Some(value.to_owned()));
            }
        }
    }

    fn report(&mut self, section: &str, key: &str, expected: &str, found: Option<String>) {
        let line = SettingError::line_of(self.text, section, key);
        self.report_at(line, section, key, expected, found);
    }

    fn report_at(
        &mut self,
        line: usize,
        section: &str,
        key: &str,
        expected: &str,
        found: Option<String>,
    ) {
        self.errors.push(SettingError {
            file: self.file.into(),
            line,
            section: section.into(),
            key: key.into(),
            expected: expected.into(),
            found,
        });
    }
}

fn split_list(raw: &str) -> Vec<&str> {
    raw.split(',').map(str::trim).filter(|part| !part.is_empty()).collect()
}
