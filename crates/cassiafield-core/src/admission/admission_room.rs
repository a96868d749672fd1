use crate::{
    admission::WaitingRequest,
    ids::{EndpointId, OrganisationId},
};

/// The room that a grantor gives away: memory of endpoints, or a model of it.
pub trait AdmissionRoom {
    /// Room that is kept for a granted request.
    type Hold;

    /// Takes room for a request; `None` if there is none now.
    fn hold(&mut self, request: &WaitingRequest) -> Option<Self::Hold>;

    /// Returns the endpoints whose room is held, in the order of the path.
    fn endpoints(&self, hold: &Self::Hold) -> Vec<EndpointId>;

    /// Frees held room.
    fn release(&mut self, hold: Self::Hold);

    /// Returns the room in use by an organisation, held room included, relative to an equal share.
    fn excess(&self, organisation: &OrganisationId) -> f64;
}
