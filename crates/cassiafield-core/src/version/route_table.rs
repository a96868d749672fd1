use {
    crate::{
        admission::RequestPriority,
        ids::{OrganisationId, ServiceId},
        version::{CallerLimits, RouteRule, ServiceRule},
    },
    compact_str::CompactString,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        fmt,
    },
};

/// A version of the operators' configuration before validation.
#[derive(Clone, Debug, Default)]
pub struct RouteTableDraft {
    /// Version number; higher is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
    /// Organisations with their API keys; `None` if requests need no key.
    pub organisations: Option<Vec<(OrganisationId, Vec<CompactString>)>>,
    /// Ranks of the organisations that have one of their own.
    pub priorities: BTreeMap<OrganisationId, u32>,
}

/// A validated version of the operators' configuration.
#[derive(Clone, Debug)]
pub struct RouteTable {
    version: u64,
    hosts: HashMap<CompactString, Vec<RouteRule>>,
    services: BTreeMap<ServiceId, ServiceRule>,
    limits: CallerLimits,
    keys: Option<HashMap<CompactString, OrganisationId>>,
    priorities: BTreeMap<OrganisationId, u32>,
    /// Services whose routes have different ranks.
    ranked: BTreeSet<ServiceId>,
}

/// Reason why a version of the configuration is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableError {
    /// A route's prefix does not begin and end with a slash.
    BadPrefix(CompactString),
    /// A route's target is a service that the version does not define.
    UnknownService(ServiceId),
    /// A route has no targets.
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
    /// Returns the version number.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on the requests of callers.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.hosts.get(host)?.iter().find(|rule| path.starts_with(rule.prefix.as_str()))
    }

    /// Returns the rule of a service.
    #[must_use]
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceRule> {
        self.services.get(service)
    }

    /// Returns the rules of all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRule> {
        self.services.values()
    }

    /// Returns `true` if requests must carry an API key.
    #[must_use]
    pub const fn requires_key(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the rank of an organisation's requests on a route to a service; the organisation's own one
    /// goes before the route's.
    ///
    /// It is `None` unless the configuration gives different ranks to organisations or to the service's routes.
    #[must_use]
    pub fn priority(
        &self,
        rule: &RouteRule,
        service: &ServiceId,
        organisation: Option<&OrganisationId>,
    ) -> Option<RequestPriority> {
        if self.priorities.is_empty() && !self.ranked.contains(service) {
            return None;
        }
        let own = organisation.and_then(|organisation| self.priorities.get(organisation));
        Some(RequestPriority::from(own.copied().unwrap_or(rule.priority)))
    }

    /// Returns `true` if an organisation has an API key.
    #[must_use]
    pub fn has_organisation(&self, organisation: &OrganisationId) -> bool {
        self.keys.as_ref().is_some_and(|keys| keys.values().any(|found| found == organisation))
    }

    /// Returns the organisation that owns the API key `key`.
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
        let mut ranks: BTreeMap<ServiceId, u32> = BTreeMap::new();
        let mut ranked = BTreeSet::new();
        for rule in draft.routes {
            check_rule(&rule, &services)?;
            for target in &rule.targets {
                let first = ranks.entry(target.service.clone()).or_insert(rule.priority);
                if *first != rule.priority {
                    ranked.insert(target.service.clone());
                }
            }
            hosts.entry(rule.host.clone()).or_default().push(rule);
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        let keys = draft.organisations.map(|list| {
            let organisations_by_key = list.into_iter().flat_map(|(organisation, keys)| {
                keys.into_iter().map(move |key| (key, organisation.clone()))
            });
            organisations_by_key.collect()
        });
        let mut all = ranks.values().chain(draft.priorities.values());
        let first = all.next().copied();
        let is_uniform = ranked.is_empty() && all.all(|rank| Some(*rank) == first);
        let priorities = if is_uniform { BTreeMap::new() } else { draft.priorities };
        let (version, limits) = (draft.version, draft.limits);
        Ok(Self { version, hosts, services, limits, keys, priorities, ranked })
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
