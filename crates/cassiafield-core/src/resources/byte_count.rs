use std::{fmt, num::ParseIntError, str::FromStr};

/// An amount of memory, in bytes.
///
/// ```
/// use cassiafield_core::resources::ByteCount;
///
/// assert_eq!("4 MiB".parse(), Ok(ByteCount::from_mib(4)));
/// assert_eq!(ByteCount::new(1_536).to_string(), "1.5 KiB");
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ByteCount(u64);

/// A text is not an amount of memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ByteCountError(ParseIntError);

impl ByteCount {
    const KIB: u64 = 1_024;
    const MIB: u64 = 1_024 * Self::KIB;

    /// Creates an amount from bytes.
    #[must_use]
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Creates an amount from the length of a buffer.
    #[must_use]
    pub const fn of_length(length: usize) -> Self {
        Self(length as u64)
    }

    /// Creates an amount from mebibytes.
    #[must_use]
    pub const fn from_mib(mib: u64) -> Self {
        Self(mib.saturating_mul(Self::MIB))
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn bytes(self) -> u64 {
        self.0
    }

    /// Returns a part of the amount, rounded down.
    #[must_use]
    pub const fn percent(self, percent: u64) -> Self {
        Self(self.0 / 100 * percent)
    }

    /// Returns the sum of two amounts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns what is left without `other`.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = self.0 as f64;
        match self.0 {
            0..Self::KIB => write!(f, "{} B", self.0),
            Self::KIB..Self::MIB => write!(f, "{:.1} KiB", bytes / Self::KIB as f64),
            Self::MIB.. => write!(f, "{:.1} MiB", bytes / Self::MIB as f64),
        }
    }
}

impl FromStr for ByteCount {
    type Err = ByteCountError;

    fn from_str(text: &str) -> Result<Self, ByteCountError> {
        let units = [("MiB", Self::MIB), ("KiB", Self::KIB), ("B", 1)];
        let found =
            units.into_iter().find_map(|(unit, size)| Some((text.strip_suffix(unit)?, size)));
        let (number, size) = found.unwrap_or((text, 1));
        let number: u64 = number.trim().parse().map_err(ByteCountError)?;
        Ok(Self(number.saturating_mul(size)))
    }
}

impl fmt::Display for ByteCountError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not an amount of memory: {}", self.0)
    }
}

impl std::error::Error for ByteCountError {}
