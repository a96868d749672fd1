use std::{fmt, str::FromStr, time::Duration};

/// Requests a second that an endpoint takes from all hosts together (`Server-Limit`).
///
/// It has a resolution of one request in a million seconds and is limited to [`RequestRate::MAX`].
///
/// ```
/// use {cassiafield_core::request::RequestRate, std::time::Duration};
/// let rate: RequestRate = "2.5".parse().unwrap();
/// assert_eq!(rate.interval(), Some(Duration::from_millis(400)));
/// assert_eq!("0".parse::<RequestRate>().unwrap().interval(), None);
/// assert!("-1".parse::<RequestRate>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct RequestRate(u64);

/// Reason why a value names no rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestRateError {
    /// The value is not a decimal number.
    Malformed,
    /// The rate is negative.
    Negative,
}

impl RequestRate {
    /// No requests at all.
    pub const ZERO: RequestRate = RequestRate(0);
    /// The highest rate; higher ones are equal to it.
    pub const MAX: RequestRate = RequestRate(1_000_000 * Self::MICROS);

    const MICROS: u64 = 1_000_000;

    /// Creates a rate from a number of requests in a million seconds.
    #[must_use]
    pub const fn per_million_seconds(requests: u64) -> Self {
        Self(requests)
    }

    /// Creates a rate from a number of requests a second; below zero, or not a number, is none.
    #[must_use]
    pub fn per_second(requests: f64) -> Self {
        // The conversion saturates, and maps what is not a number to zero.
        Self((requests * Self::MICROS as f64) as u64).min(Self::MAX)
    }

    /// Returns the number of requests a second.
    #[must_use]
    pub fn as_per_second(self) -> f64 {
        self.0 as f64 / Self::MICROS as f64
    }

    /// Returns the time between two requests; `None` if there are none.
    #[must_use]
    pub fn interval(self) -> Option<Duration> {
        (self.0 > 0).then(|| Duration::from_secs_f64(Self::MICROS as f64 / self.0 as f64))
    }

    /// Returns the rate times `factor`, which is not negative.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self::per_second(self.as_per_second() * factor)
    }
}

impl FromStr for RequestRate {
    type Err = RequestRateError;

    fn from_str(text: &str) -> Result<Self, RequestRateError> {
        let text = text.trim();
        let is_decimal =
            text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'.' | b'+' | b'-' | b'e' | b'E'));
        let requests: f64 = text.parse().map_err(|_| RequestRateError::Malformed)?;
        if !is_decimal {
            return Err(RequestRateError::Malformed);
        }
        if requests < 0.0 {
            return Err(RequestRateError::Negative);
        }
        Ok(Self::per_second(requests))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} requests a second", self.as_per_second())
    }
}

impl fmt::Display for RequestRateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestRateError::Malformed => f.write_str("the value is not a decimal number"),
            RequestRateError::Negative => f.write_str("the rate is negative"),
        }
    }
}

impl std::error::Error for RequestRateError {}
