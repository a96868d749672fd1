text_id! {
    /// Name of a kind of accelerator.
    AcceleratorKind
}
text_id! {
    /// Name of an endpoint: a model server or an instance of a plain service.
    EndpointId
}
text_id! {
    /// Name of a host, which runs the router itself.
    HostId
}
text_id! {
    /// Name of a model.
    ModelId
}
text_id! {
    /// Name of an organisation, which holds a plan.
    OrganisationId
}
text_id! {
    /// Name of a plan.
    PlanId
}
text_id! {
    /// Name of a service.
    ServiceId
}
text_id! {
    /// Name of an availability zone.
    ZoneId
}
