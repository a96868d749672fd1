text_id! {
    /// Names a kind of accelerator.
    AcceleratorKind
}
text_id! {
    /// Names an endpoint: one model server or one plain service instance.
    EndpointId
}
text_id! {
    /// Names a host of the system itself.
    HostId
}
text_id! {
    /// Names a model.
    ModelId
}
text_id! {
    /// Names an organisation that holds a plan.
    OrganisationId
}
text_id! {
    /// Names a plan.
    PlanId
}
text_id! {
    /// Names a plain service.
    ServiceId
}
text_id! {
    /// Names an availability zone.
    ZoneId
}
