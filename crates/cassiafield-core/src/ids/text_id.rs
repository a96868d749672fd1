use std::fmt;

/// Maximum length of a name.
pub(super) const MAX_NAME_BYTES: usize = 64;

/// Reason why a text is not a valid name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text has more than 64 bytes; holds its length in bytes.
    TooLong(usize),
    /// The text contains this character, which is not an ASCII letter, a digit, `-`, `_`, `.` or
    /// `:`.
    BadCharacter(char),
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdError::Empty => write!(f, "a name must not be empty"),
            IdError::TooLong(length) => {
                write!(f, "a name has at most {MAX_NAME_BYTES} bytes, found {length}")
            }
            IdError::BadCharacter(found) => write!(
                f,
                "a name consists of ASCII letters, digits, '-', '_', '.' and ':', found {found:?}"
            ),
        }
    }
}

impl std::error::Error for IdError {}

/// Checks that `text` is a valid name.
///
/// # Errors
///
/// Returns an [`IdError`] if the text is empty, too long or contains another character.
pub(super) fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(IdError::TooLong(text.len()));
    }
    match text.chars().find(|c| !(c.is_ascii_alphanumeric() || "-_.:".contains(*c))) {
        Some(found) => Err(IdError::BadCharacter(found)),
        None => Ok(()),
    }
}

/// Defines a newtype for a validated text identifier.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "compact_str::CompactString", into = "compact_str::CompactString")]
        pub struct $name(compact_str::CompactString);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ids::IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                crate::ids::text_id::check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = $crate::ids::IdError;

            fn try_from(text: &str) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl TryFrom<compact_str::CompactString> for $name {
            type Error = $crate::ids::IdError;

            fn try_from(text: compact_str::CompactString) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for compact_str::CompactString {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}
