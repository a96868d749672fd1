use {
    cassiafield::{connection::StoreError, process::SettingFault, version::EditError},
    std::fmt,
};

/// Why a command did not succeed; decides the exit code.
#[derive(Debug)]
pub enum ControlError {
    /// The command line is wrong.
    Usage(String),
    /// The input has faults.
    InvalidInput(Vec<SettingFault>),
    /// The edit was refused; the lists are unchanged.
    Refused(String),
    /// The store or a host is out of reach; nothing was changed.
    Unreachable(String),
    /// It is not known whether the edit took effect.
    Unknown(String),
    /// The logs hold no line of the request.
    NotFound(String),
}

impl ControlError {
    /// Returns the exit code.
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
            ControlError::InvalidInput(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
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
