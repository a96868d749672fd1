use {
    crate::ids::{EndpointId, HostId, IdError},
    std::{fmt, num::ParseIntError, str::FromStr, time::Duration},
};

/// Metadata of a request that one host hands over to another.
///
/// ```
/// use cassiafield_core::request::CarryNote;
///
/// let text = "host-1 token=42 elapsed-ms=120 sends=1 ends=0 revision=7 counted=no retry=yes \
///     unanswered=0 sent-to=i-1";
/// let note: CarryNote = text.parse()?;
/// assert_eq!((note.elapsed.as_millis(), note.sends), (120, 1));
/// assert_eq!(note.to_string(), text);
/// # Ok::<(), cassiafield_core::request::CarryNoteError>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CarryNote {
    /// The host that took the request from its caller.
    pub host: HostId,
    /// Token of that host, which the other hosts read from the store.
    pub token: u64,
    /// Time since that host received the request, in whole milliseconds.
    pub elapsed: Duration,
    /// Number of times that it sent the request to endpoints.
    pub sends: u32,
    /// Number of endpoints that ended under the request.
    pub ends: u32,
    /// Revision of the configuration that it has.
    pub revision: u64,
    /// Whether it has counted the answer for the organisation.
    pub is_counted: bool,
    /// Whether it has taken from its retry budget what the next send needs.
    pub has_retry: bool,
    /// Number of hosts that accepted the request and did not respond; each may have sent it to an endpoint
    /// that is not in `sent_to`.
    pub unanswered: u32,
    /// First endpoints of the paths that it was sent over, and those that other hosts announced.
    pub sent_to: Vec<EndpointId>,
}

/// Why a text is not a valid note.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CarryNoteError {
    /// A field is missing, or another one stands in its place; holds the expected name.
    Missing(&'static str),
    /// A name is invalid.
    Name(IdError),
    /// A number is invalid; holds the field's name.
    Number(&'static str, ParseIntError),
    /// A field is neither `yes` nor `no`; holds its name.
    NotYesOrNo(&'static str),
    /// The note names more endpoints than a request can have been sent to.
    TooManyEndpoints(usize),
}

impl CarryNote {
    /// Largest number of endpoints in a note.
    const MAX_ENDPOINTS: usize = 16;
}

impl fmt::Display for CarryNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} token={} elapsed-ms={} sends={} ends={} revision={} counted={} retry={} \
             unanswered={} sent-to=",
            self.host,
            self.token,
            self.elapsed.as_millis(),
            self.sends,
            self.ends,
            self.revision,
            yes_or_no(self.is_counted),
            yes_or_no(self.has_retry),
            self.unanswered,
        )?;
        f.write_str(&join_endpoints(&self.sent_to))
    }
}

impl FromStr for CarryNote {
    type Err = CarryNoteError;

    fn from_str(text: &str) -> Result<Self, CarryNoteError> {
        let mut parts = text.split(' ');
        let host = parts.next().unwrap_or_default().parse().map_err(CarryNoteError::Name)?;
        let mut field = |name: &'static str| {
            let value = parts.next().and_then(|part| part.strip_prefix(name)?.strip_prefix('='));
            value.ok_or(CarryNoteError::Missing(name))
        };
        let token = parse_number("token", field("token")?)?;
        let elapsed_ms = parse_number("elapsed-ms", field("elapsed-ms")?)?;
        let sends = parse_number("sends", field("sends")?)?;
        let ends = parse_number("ends", field("ends")?)?;
        let revision = parse_number("revision", field("revision")?)?;
        let is_counted = parse_flag("counted", field("counted")?)?;
        let has_retry = parse_flag("retry", field("retry")?)?;
        let unanswered = parse_number("unanswered", field("unanswered")?)?;
        let sent_to = parse_endpoints(field("sent-to")?)?;
        let elapsed = Duration::from_millis(elapsed_ms);
        Ok(Self {
            host,
            token,
            elapsed,
            sends,
            ends,
            revision,
            is_counted,
            has_retry,
            unanswered,
            sent_to,
        })
    }
}

/// Joins the names of endpoints as hosts tell them to each other.
#[must_use]
pub fn join_endpoints(endpoints: &[EndpointId]) -> String {
    let names: Vec<&str> = endpoints.iter().map(EndpointId::as_str).collect();
    names.join(",")
}

/// Reads the names of endpoints as [`join_endpoints`] writes them.
///
/// # Errors
///
/// Returns which name is invalid, or that there are too many.
pub fn parse_endpoints(text: &str) -> Result<Vec<EndpointId>, CarryNoteError> {
    let names = text.split(',').filter(|name| !name.is_empty());
    let endpoints: Vec<EndpointId> =
        names.map(str::parse).collect::<Result<_, _>>().map_err(CarryNoteError::Name)?;
    if endpoints.len() > CarryNote::MAX_ENDPOINTS {
        return Err(CarryNoteError::TooManyEndpoints(endpoints.len()));
    }
    Ok(endpoints)
}

const fn yes_or_no(flag: bool) -> &'static str {
    if flag {
        "yes"
    } else {
        "no"
    }
}

fn parse_flag(name: &'static str, text: &str) -> Result<bool, CarryNoteError> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(CarryNoteError::NotYesOrNo(name)),
    }
}

fn parse_number<T>(name: &'static str, text: &str) -> Result<T, CarryNoteError>
where
    T: FromStr<Err = ParseIntError>,
{
    text.parse().map_err(|error| CarryNoteError::Number(name, error))
}

impl fmt::Display for CarryNoteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CarryNoteError::Missing(name) => write!(f, "the field {name} is missing"),
            CarryNoteError::Name(error) => error.fmt(f),
            CarryNoteError::Number(name, error) => write!(f, "the field {name}: {error}"),
            CarryNoteError::NotYesOrNo(name) => {
                write!(f, "the field {name} is neither yes nor no")
            }
            CarryNoteError::TooManyEndpoints(count) => write!(
                f,
                "the field sent-to has {count} endpoints, at most {} are taken",
                CarryNote::MAX_ENDPOINTS
            ),
        }
    }
}

impl std::error::Error for CarryNoteError {}
