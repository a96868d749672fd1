use std::{fmt, str::FromStr};

/// Why a host does not carry a request; it has sent the request to no endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CarryRefusal {
    /// It is stopping.
    Stopping,
    /// It carries as many requests as it can.
    Full,
    /// Its configuration or its knowledge of API keys is older than that of the other host.
    OutdatedConfiguration,
    /// It has no way to the endpoints either.
    OutOfReach,
    /// Neither host has a retry, which this request needs.
    NoRetry,
    /// No endpoint can take the request, which was sent before.
    NoPath,
}

impl CarryRefusal {
    const ALL: [CarryRefusal; 6] = [
        CarryRefusal::Stopping,
        CarryRefusal::Full,
        CarryRefusal::OutdatedConfiguration,
        CarryRefusal::OutOfReach,
        CarryRefusal::NoRetry,
        CarryRefusal::NoPath,
    ];

    /// Returns `true` if the host refuses other requests as well.
    pub(super) const fn concerns_host(self) -> bool {
        !matches!(self, CarryRefusal::NoRetry | CarryRefusal::NoPath)
    }

    /// Returns the name that hosts send to each other.
    pub(super) const fn name(self) -> &'static str {
        match self {
            CarryRefusal::Stopping => "stopping",
            CarryRefusal::Full => "full",
            CarryRefusal::OutdatedConfiguration => "outdated configuration",
            CarryRefusal::OutOfReach => "out of reach",
            CarryRefusal::NoRetry => "no retry left",
            CarryRefusal::NoPath => "no path",
        }
    }
}

impl fmt::Display for CarryRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The name of a refusal is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct UnknownRefusal;

impl FromStr for CarryRefusal {
    type Err = UnknownRefusal;

    fn from_str(name: &str) -> Result<Self, UnknownRefusal> {
        Self::ALL.into_iter().find(|refusal| refusal.name() == name).ok_or(UnknownRefusal)
    }
}
