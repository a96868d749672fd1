use {
    cassiafield::{connection::StoreError, process::SettingError, version::EditError},
    std::fmt,
};

/// Error of a command; determines the exit code.
#[derive(Debug)]
pub enum ControlError {
    /// The command line, or a file or stream that it names, is invalid.
    Usage(String),
    /// The input has invalid values.
    InvalidInput(Vec<SettingError>),
    /// The edit was rejected; the lists are unchanged.
    Refused(String),
    /// The store could not be read or written; nothing was changed.
    Unreachable(String),
    /// The write was sent, but whether it took effect is unknown.
    Unknown(String),
    /// The logs contain no record of the request.
    NotFound(String),
}

impl ControlError {
    /// Returns the process exit code.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            ControlError::Unreachable(_) => 1,
            ControlError::Usage(_) | ControlError::InvalidInput(_) => 2,
            ControlError::Refused(_) => 3,
            ControlError::Unknown(_) => 4,
            ControlError::NotFound(_) => 5,
        }
    }
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::Usage(text) => write!(f, "{text}; see --help"),
            ControlError::InvalidInput(errors) => {
                let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            ControlError::Refused(text)
            | ControlError::Unreachable(text)
            | ControlError::Unknown(text)
            | ControlError::NotFound(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for ControlError {}

impl From<EditError> for ControlError {
    fn from(error: EditError) -> Self {
        let text = error.to_string();
        match error {
            EditError::Refused(_) | EditError::TooLarge(_) => ControlError::Refused(text),
            EditError::Unknown(_) => ControlError::Unknown(text),
            EditError::NotWritten(_) | EditError::Unreadable(_) | EditError::Contended => {
                ControlError::Unreachable(text)
            }
        }
    }
}

impl From<StoreError> for ControlError {
    fn from(error: StoreError) -> Self {
        ControlError::Unreachable(error.to_string())
    }
}
