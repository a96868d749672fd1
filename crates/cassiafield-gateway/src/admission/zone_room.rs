use {
    crate::process::GatewayState,
    cassiafield_core::{
        admission::{AdmissionRoom, WaitingRequest},
        ids::{EndpointId, ModelId, OrganisationId},
        process::{LoadReservation, PathPlanner, PathRequest},
    },
};

/// The memory of endpoints as the zone's leader sees it.
pub(super) struct ZoneRoom<'a> {
    pub(super) state: &'a GatewayState,
}

/// Memory of endpoints that is kept for a granted request.
#[derive(Debug)]
pub(super) struct HeldMemory {
    reservation: LoadReservation,
    endpoints: Vec<EndpointId>,
    organisation: Option<OrganisationId>,
    tokens: u32,
}

impl AdmissionRoom for ZoneRoom<'_> {
    type Hold = HeldMemory;

    fn hold(&mut self, request: &WaitingRequest) -> Option<HeldMemory> {
        let state = self.state;
        let table = state.route_table()?;
        let engine = table.service(&request.service)?.engine.as_ref()?;
        let model: ModelId = request.service.as_str().parse().ok()?;
        let organisation = request.organisation.as_ref();
        let (memory_fraction, foreign_memory_fraction) = state.memory_fractions(organisation);
        let path = {
            let (directory, load) = (state.directory.borrow(), state.load.borrow());
            let now = state.now();
            let planner = PathPlanner { directory: &directory, load: &load, engine, now };
            let plan = PathRequest {
                model: &model,
                service: &request.service,
                zone: &state.settings.zone,
                prompt_tokens: request.prompt_tokens,
                output_tokens: request.output_tokens,
                excluded: &[],
                allowed_firsts: None,
                memory_fraction,
                foreign_memory_fraction,
            };
            planner.plan(&plan).ok()?
        };
        let tokens = request.tokens();
        let reservation = state.load.borrow_mut().reserve(&path.route, tokens);
        if let Some(organisation) = organisation {
            state.organisations.borrow_mut().reserve(organisation, tokens);
        }
        let stages = path.route.stages().iter();
        let endpoints = stages.map(|stage| stage.endpoint.clone()).collect();
        Some(HeldMemory { reservation, endpoints, organisation: organisation.cloned(), tokens })
    }

    fn endpoints(&self, hold: &HeldMemory) -> Vec<EndpointId> {
        hold.endpoints.clone()
    }

    fn release(&mut self, hold: HeldMemory) {
        self.state.load.borrow_mut().release(hold.reservation);
        if let Some(organisation) = &hold.organisation {
            self.state.organisations.borrow_mut().release(organisation, hold.tokens);
        }
    }

    fn excess(&self, organisation: &OrganisationId) -> f64 {
        self.state.organisations.borrow().excess(organisation, self.state.now())
    }
}
