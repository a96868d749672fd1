use {
    compact_str::CompactString,
    std::{fmt, str::FromStr},
};

/// Identifies a part of a prompt; requests with equal parts share them.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct PromptPart(CompactString);

/// Reason why a text identifies no part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPartError;

impl PromptPart {
    /// Maximum length of an identifier, in characters.
    const MAX_LENGTH: usize = 64;

    /// Returns the identifier in lower case.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for PromptPart {
    type Err = PromptPartError;

    fn from_str(text: &str) -> Result<Self, PromptPartError> {
        let is_valid = !text.is_empty()
            && text.len() <= Self::MAX_LENGTH
            && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        is_valid.then(|| Self(text.to_ascii_lowercase().into())).ok_or(PromptPartError)
    }
}

impl TryFrom<CompactString> for PromptPart {
    type Error = PromptPartError;

    fn try_from(text: CompactString) -> Result<Self, PromptPartError> {
        text.parse()
    }
}

impl From<PromptPart> for CompactString {
    fn from(part: PromptPart) -> Self {
        part.0
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for PromptPartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a part of a prompt is not a short hexadecimal identifier")
    }
}

impl std::error::Error for PromptPartError {}
