use std::fmt;

/// What a connection to an endpoint is opened for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ConnectionPurpose {
    /// A request for a stream.
    Stream,
    /// A request to a plain service.
    Call,
    /// A health probe.
    Probe,
    /// The zone leader's poll of a report.
    Poll,
    /// A check whether this host has a way to a service, or whether an endpoint has ended.
    Reach,
    /// An order to hold layers, or to replace stages of a stream's path.
    Order,
}

impl ConnectionPurpose {
    /// Every purpose.
    pub const ALL: [ConnectionPurpose; 6] = [
        ConnectionPurpose::Stream,
        ConnectionPurpose::Call,
        ConnectionPurpose::Probe,
        ConnectionPurpose::Poll,
        ConnectionPurpose::Reach,
        ConnectionPurpose::Order,
    ];

    /// Returns the label in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            ConnectionPurpose::Stream => "stream",
            ConnectionPurpose::Call => "call",
            ConnectionPurpose::Probe => "probe",
            ConnectionPurpose::Poll => "poll",
            ConnectionPurpose::Reach => "reach",
            ConnectionPurpose::Order => "order",
        }
    }
}

impl fmt::Display for ConnectionPurpose {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
