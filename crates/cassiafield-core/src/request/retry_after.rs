use std::{fmt, str::FromStr, time::Duration};

/// Time for which an endpoint asks a host to send it nothing (`Retry-After`).
///
/// It is given in seconds, with a fraction if needed, and is limited to [`RetryAfter::MAX`].
///
/// ```
/// use {cassiafield_core::request::RetryAfter, std::time::Duration};
/// let asked: RetryAfter = "1.5".parse().unwrap();
/// assert_eq!(asked.duration(), Duration::from_millis(1_500));
/// assert!("-1".parse::<RetryAfter>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RetryAfter(Duration);

/// Reason why a value names no time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryAfterError {
    /// The value is not a number of seconds; dates are not supported.
    Malformed,
    /// The time is negative.
    Negative,
}

impl RetryAfter {
    /// Longest time that is kept: no single value takes an endpoint away for good.
    pub const MAX: Duration = Duration::from_secs(600);
    /// Time that is kept for a value that cannot be read: the endpoint did ask for a pause.
    pub const UNREADABLE: RetryAfter = RetryAfter(Duration::from_secs(1));

    /// Returns the time.
    #[must_use]
    pub const fn duration(self) -> Duration {
        self.0
    }
}

impl FromStr for RetryAfter {
    type Err = RetryAfterError;

    fn from_str(text: &str) -> Result<Self, RetryAfterError> {
        let text = text.trim();
        let is_decimal =
            text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'.' | b'+' | b'-' | b'e' | b'E'));
        let seconds: f64 = text.parse().map_err(|_| RetryAfterError::Malformed)?;
        if !is_decimal {
            return Err(RetryAfterError::Malformed);
        }
        if seconds.is_sign_negative() && seconds != 0.0 {
            return Err(RetryAfterError::Negative);
        }
        let seconds = seconds.abs().min(Self::MAX.as_secs_f64());
        Ok(Self(Duration::from_secs_f64(seconds)))
    }
}

impl fmt::Display for RetryAfter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0.as_millis())
    }
}

impl fmt::Display for RetryAfterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RetryAfterError::Malformed => f.write_str("the value is not a number of seconds"),
            RetryAfterError::Negative => f.write_str("the time is negative"),
        }
    }
}

impl std::error::Error for RetryAfterError {}
