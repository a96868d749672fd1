/// What sends to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SenderKind {
    /// A request to a plain service.
    Call,
    /// A request for a stream.
    Stream,
    /// A health probe.
    Probe,
    /// The zone leader's poll of a report.
    Poll,
    /// An order to hold layers, with the report read before it.
    Order,
}

impl SenderKind {
    /// Returns `true` for requests of callers.
    #[must_use]
    pub const fn is_request(self) -> bool {
        matches!(self, SenderKind::Call | SenderKind::Stream)
    }

    /// Returns the label in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            SenderKind::Call => "call",
            SenderKind::Stream => "stream",
            SenderKind::Probe => "probe",
            SenderKind::Poll => "poll",
            SenderKind::Order => "order",
        }
    }
}
