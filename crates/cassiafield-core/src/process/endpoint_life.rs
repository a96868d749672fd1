use {
    crate::{
        ids::{EndpointId, IdError},
        process::EndpointIncarnation,
    },
    std::{fmt, str::FromStr},
};

/// One run of an endpoint, from its start to its end.
///
/// The status that an endpoint reports applies to one run; a restart begins a new one.
///
/// ```
/// use cassiafield_core::process::{EndpointIncarnation, EndpointLife};
///
/// let life: EndpointLife = "i-1/5".parse()?;
/// assert_eq!(life.incarnation, EndpointIncarnation(5));
/// assert_eq!(life.to_string(), "i-1/5");
/// # Ok::<(), cassiafield_core::process::EndpointLifeError>(())
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointLife {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its run.
    pub incarnation: EndpointIncarnation,
}

/// Why a text names no run of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EndpointLifeError {
    /// The endpoint's name is invalid.
    BadName(IdError),
    /// No number of the run follows the name and a slash.
    NoIncarnation,
}

impl fmt::Display for EndpointLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.endpoint, self.incarnation.0)
    }
}

impl FromStr for EndpointLife {
    type Err = EndpointLifeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, number) = text.rsplit_once('/').ok_or(EndpointLifeError::NoIncarnation)?;
        let endpoint = name.parse().map_err(EndpointLifeError::BadName)?;
        let number = number.parse().map_err(|_| EndpointLifeError::NoIncarnation)?;
        Ok(Self { endpoint, incarnation: EndpointIncarnation(number) })
    }
}

impl fmt::Display for EndpointLifeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndpointLifeError::BadName(error) => write!(f, "the endpoint's name: {error}"),
            EndpointLifeError::NoIncarnation => {
                f.write_str("no number of a run after the endpoint's name")
            }
        }
    }
}

impl std::error::Error for EndpointLifeError {}
