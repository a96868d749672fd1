use {
    crate::{
        ids::{OrganisationId, ServiceId},
        version::{CallerLimits, RouteRule, ServiceRule},
    },
    compact_str::CompactString,
    std::{
        collections::{BTreeMap, HashMap},
        fmt,
    },
};

/// An unchecked version of the operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTableDraft {
    /// The version; higher is newer.
    pub version: u64,
    /// Every route.
    pub routes: Vec<RouteRule>,
    /// Every service.
    pub services: Vec<ServiceRule>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Each organisation with its keys; absent when requests carry no keys.
    pub organisations: Option<Vec<(OrganisationId, Vec<CompactString>)>>,
}

/// One checked version of the operators' configuration.
#[derive(Clone, Debug)]
pub struct RouteTable {
    version: u64,
    hosts: HashMap<CompactString, Vec<RouteRule>>,
    services: BTreeMap<ServiceId, ServiceRule>,
    limits: CallerLimits,
    keys: Option<HashMap<CompactString, OrganisationId>>,
}

/// Says what is wrong with a version of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableError {
    /// A route's prefix does not begin and end with a slash.
    BadPrefix(CompactString),
    /// A route names a service that the version does not define.
    UnknownService(ServiceId),
    /// A route has no service to send to.
    NoTarget(CompactString),
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableError::BadPrefix(prefix) => {
                write!(f, "prefix {prefix:?} must begin and end with a slash")
            }
            TableError::UnknownService(service) => write!(f, "service {service} is not defined"),
            TableError::NoTarget(route) => write!(f, "route {route:?} has no service"),
        }
    }
}

impl std::error::Error for TableError {}

impl RouteTable {
    /// Returns the version.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns what callers may send.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.hosts.get(host)?.iter().find(|rule| path.starts_with(rule.prefix.as_str()))
    }

    /// Returns the rules of a service.
    #[must_use]
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceRule> {
        self.services.get(service)
    }

    /// Returns every service.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRule> {
        self.services.values()
    }

    /// Says whether requests must carry a key.
    #[must_use]
    pub const fn requires_key(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the organisation that holds `key`.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&OrganisationId> {
        self.keys.as_ref()?.get(key)
    }
}

impl TryFrom<RouteTableDraft> for RouteTable {
    type Error = TableError;

    fn try_from(draft: RouteTableDraft) -> Result<Self, TableError> {
        let services: BTreeMap<_, _> =
            draft.services.into_iter().map(|rule| (rule.service.clone(), rule)).collect();
        let mut hosts: HashMap<CompactString, Vec<RouteRule>> = HashMap::new();
        for rule in draft.routes {
            check_rule(&rule, &services)?;
            hosts.entry(rule.host.clone()).or_default().push(rule);
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        let keys = draft.organisations.map(|list| {
            let pairs = list.into_iter().flat_map(|(organisation, keys)| {
                keys.into_iter().map(move |key| (key, organisation.clone()))
            });
            pairs.collect()
        });
        Ok(Self { version: draft.version, hosts, services, limits: draft.limits, keys })
    }
}

fn check_rule(
    rule: &RouteRule,
    services: &BTreeMap<ServiceId, ServiceRule>,
) -> Result<(), TableError> {
    if !(rule.prefix.starts_with('/') && rule.prefix.ends_with('/')) {
        return Err(TableError::BadPrefix(rule.prefix.clone()));
    }
    if rule.targets.is_empty() {
        return Err(TableError::NoTarget(rule.name.clone()));
    }
    match rule.targets.iter().find(|target| !services.contains_key(&target.service)) {
        Some(target) => Err(TableError::UnknownService(target.service.clone())),
        None => Ok(()),
    }
}
