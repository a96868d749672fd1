use {
    crate::process::AdmissionController,
    cassiafield_core::{
        ids::{EndpointId, Moment, OrganisationId},
        process::RoutingError,
        request::StageRoute,
    },
    std::sync::Arc,
};

/// A route reserved for one request; dropping the guard releases it.
pub struct RouteGuard {
    pub(super) admission: Arc<AdmissionController>,
    pub(super) organisation: OrganisationId,
    pub(super) prefix_hash: u64,
    pub(super) route: Option<StageRoute>,
    pub(super) granted_at: Moment,
}

impl RouteGuard {
    /// Returns the route.
    ///
    /// # Panics
    ///
    /// Never: the route is present until the guard is dropped.
    #[must_use]
    #[allow(clippy::expect_used)]
    pub fn route(&self) -> &StageRoute {
        self.route.as_ref().expect("the route is present until the guard is dropped")
    }

    /// Returns `true` if there is a route that avoids `excluded`, even if no slots are free.
    #[must_use]
    pub fn has_route_without(&self, excluded: &[EndpointId]) -> bool {
        self.admission.plan_other_route(self.route(), self.prefix_hash, excluded).is_ok()
    }

    /// Replaces the route with one that avoids `excluded`, even if no slots are free.
    ///
    /// # Errors
    ///
    /// Returns why there is no other route; the current one is kept.
    pub fn reroute(&mut self, excluded: &[EndpointId]) -> Result<(), RoutingError> {
        let route = self.admission.exchange_route(self.route(), self.prefix_hash, excluded)?;
        self.route = Some(route);
        Ok(())
    }

    /// Releases the route.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for RouteGuard {
    fn drop(&mut self) {
        if let Some(route) = self.route.take() {
            let service_time = self.admission.now().since(self.granted_at);
            self.admission.release(&self.organisation, &route, service_time);
        }
    }
}
