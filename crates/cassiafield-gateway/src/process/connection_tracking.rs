//! Decides which connections to endpoints this host keeps, and accounts for those that it opens.

use {
    crate::process::GatewayState,
    cassiafield::process::LogEvent,
    cassiafield_core::{
        connections::{ConnectionCap, ConnectionPlan, ConnectionPurpose, IdleAllowance},
        ids::{EndpointId, HostId, Moment, ServiceId},
        version::ServiceRule,
    },
    std::{
        cell::RefCell,
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// The connection plans of a host, by service.
#[derive(Debug, Default)]
pub(super) struct ConnectionPlans(RefCell<BTreeMap<ServiceId, ConnectionPlan>>);

impl GatewayState {
    /// Interval between two plans; hosts and endpoints are listed about as often.
    const CONNECTION_PLAN_INTERVAL: Duration = Duration::from_secs(1);
    /// Number of plans between two log lines about opened connections.
    const PLANS_PER_REPORT: u32 = 10;

    /// Records that a connection was taken for a purpose, `is_reused` if an idle one was there.
    pub fn record_connection_use(&self, purpose: ConnectionPurpose, is_reused: bool) {
        self.pool.update_counts(|counts| {
            if is_reused {
                counts.record_reuse(purpose);
            } else {
                counts.record_open(purpose);
            }
        });
        if !is_reused {
            self.metrics.count_opened(purpose);
        }
    }

    fn connection_cap(&self, rule: &ServiceRule) -> ConnectionCap {
        ConnectionCap { max_connections: rule.max_connections, hosts: self.fleet_hosts() }
    }

    /// Returns how many idle connections this host may keep to an endpoint of a service, and how long.
    #[must_use]
    pub fn idle_allowance(&self, rule: &ServiceRule, endpoint: &EndpointId) -> IdleAllowance {
        let cap = self.connection_cap(rule);
        let plans = self.connection_plans.0.borrow();
        let Some(plan) = plans.get(&rule.service) else { return cap.equal_allowance() };
        let directory = self.directory.borrow();
        let entry = directory.entry(endpoint);
        plan.allowance(endpoint, entry.is_some_and(|e| e.zone == self.settings.zone), cap)
    }

    /// Returns how many idle connections this host may keep to an endpoint, if connections to it are scarce.
    #[must_use]
    pub(super) fn scarce_allowance(&self, endpoint: &EndpointId) -> Option<IdleAllowance> {
        let service = self.service_of(endpoint)?;
        let table = self.route_table()?;
        let allowance = self.idle_allowance(table.service(&service)?, endpoint);
        allowance.is_scarce.then_some(allowance)
    }

    /// Returns the endpoints of a service at which a path should begin if its cost is about equal: those with
    /// an idle connection, or else those that this host keeps connections to.
    ///
    /// Empty where connections are not scarce.
    #[must_use]
    pub fn connected_firsts(&self, rule: &ServiceRule, now: Moment) -> BTreeSet<EndpointId> {
        if !self.connection_cap(rule).is_scarce() {
            return BTreeSet::new();
        }
        let directory = self.directory.borrow();
        let firsts = directory
            .live_entries(&rule.service)
            .filter(|entry| entry.span.is_some_and(|span| span.start() == 0));
        let connected: BTreeSet<EndpointId> = firsts
            .filter(|entry| self.pool.has_idle(entry.address, now))
            .map(|entry| entry.endpoint.clone())
            .collect();
        if !connected.is_empty() {
            return connected;
        }
        let plans = self.connection_plans.0.borrow();
        plans.get(&rule.service).map_or_else(BTreeSet::new, |plan| plan.kept().clone())
    }

    fn plan_connections(&self) {
        let Some(table) = self.route_table() else { return };
        let peers: Vec<HostId> = self.members.borrow().live(self.now()).cloned().collect();
        let plan = |rule: &ServiceRule| {
            let directory = self.directory.borrow();
            let firsts: Vec<EndpointId> = directory
                .live_entries(&rule.service)
                .filter(|entry| entry.zone == self.settings.zone)
                .filter(|entry| {
                    rule.engine.is_none() || entry.span.is_some_and(|span| span.start() == 0)
                })
                .map(|entry| entry.endpoint.clone())
                .collect();
            ConnectionPlan::new(&self.settings.host, &peers, &firsts)
        };
        let scarce = table.services().filter(|rule| self.connection_cap(rule).is_scarce());
        let plans = scarce.map(|rule| (rule.service.clone(), plan(rule))).collect();
        *self.connection_plans.0.borrow_mut() = plans;
    }

    /// Plans connections, and reports from time to time what they were opened for; never returns.
    pub(super) async fn run_connection_plans(self: Rc<Self>) {
        for round in 1_u32.. {
            self.plan_connections();
            self.log_pace();
            if round % Self::PLANS_PER_REPORT == 0 {
                self.log_connections();
            }
            sleep(Self::CONNECTION_PLAN_INTERVAL).await;
        }
    }

    /// Logs what connections were opened for since the last report, if any were.
    pub(super) fn log_connections(&self) {
        let counts = self.pool.take_counts();
        if !counts.is_empty() {
            LogEvent::ConnectionsOpened.log(counts);
        }
    }

    /// Logs the parts of paths that are slower than planned now, if there are any.
    fn log_pace(&self) {
        /// Maximum number of parts in a line.
        const MAX_PARTS: usize = 6;
        let load = self.load.borrow();
        let slow: Vec<String> = load
            .pace
            .slow_parts(self.now())
            .map(|(part, factor)| format!("{part} {factor:.1}"))
            .collect();
        if !slow.is_empty() {
            let (count, listed) = (slow.len(), slow[..slow.len().min(MAX_PARTS)].join(", "));
            LogEvent::PartsSlow.log(format_args!("{count} parts, times as slow: {listed}"));
        }
    }
}
