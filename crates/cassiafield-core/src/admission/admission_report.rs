use {
    crate::{
        admission::{AdmissionTicket, WaitingRequest},
        ids::{EndpointId, HostId, ServiceId},
    },
    std::fmt,
};

/// Names a grant among those of one grantor's lead.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct GrantNumber(pub u64);

impl fmt::Display for GrantNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What a host tells the grantor: its waiting requests, and which grants its usage includes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AdmissionReport {
    /// Differs between starts of the host.
    pub incarnation: u64,
    /// Rises with each report.
    pub sequence: u64,
    /// Requests that wait, in the host's own order.
    pub waiting: Vec<WaitingRequest>,
    /// Grants that are used or given back, whose room the usage in the same message includes or not.
    pub settled: Vec<GrantNumber>,
}

/// What becomes of a waiting request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum AdmissionOutcome {
    /// It may use room now.
    Granted {
        /// The grant.
        number: GrantNumber,
        /// The endpoints whose room is granted, in the order of the path; the host's own view of them is older.
        endpoints: Vec<EndpointId>,
    },
    /// It waits.
    Waiting {
        /// Number of requests of the zone before it.
        place: u32,
    },
    /// It can't be served in time.
    Refused {
        /// When its caller should return, in milliseconds.
        return_in_ms: u32,
    },
}

impl AdmissionOutcome {
    /// Returns the name used in metrics and the log.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            AdmissionOutcome::Granted { .. } => "granted",
            AdmissionOutcome::Waiting { .. } => "waiting",
            AdmissionOutcome::Refused { .. } => "refused",
        }
    }
}

impl fmt::Display for AdmissionOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdmissionOutcome::Granted { number, endpoints } => {
                write!(f, "granted by {number} at {} endpoints", endpoints.len())
            }
            AdmissionOutcome::Waiting { place } => write!(f, "waits behind {place}"),
            AdmissionOutcome::Refused { return_in_ms } => {
                write!(f, "refused, returns in {return_in_ms} ms")
            }
        }
    }
}

/// The grantor's reply to a report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AdmissionReply {
    /// Incarnation of the host that the reply is for.
    pub incarnation: u64,
    /// The latest report that the grantor had.
    pub sequence: u64,
    /// What becomes of the host's requests.
    pub outcomes: Vec<(AdmissionTicket, AdmissionOutcome)>,
}

/// What each host tells all hosts of its zone periodically.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct AdmissionNews {
    /// Differs between starts of the sender.
    pub incarnation: u64,
    /// Rises with each message of the sender.
    pub sequence: u64,
    /// The host that the sender takes grants of, if it knows one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub follows: Option<HostId>,
    /// Streams of the sender that have ended, modulo 2^32.
    pub ends: u32,
    /// Services that requests wait for, as far as the sender grants their room.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub short: Vec<ServiceId>,
}
