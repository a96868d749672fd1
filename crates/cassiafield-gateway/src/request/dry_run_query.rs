use {
    cassiafield_core::{
        ids::{ModelId, OrganisationId, ServiceId},
        request::PromptPrefix,
    },
    std::fmt,
};

/// The request of a dry run, as an operator describes it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DryRunQuery {
    /// Value of the `Host` header.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// The organisation, if the request would have a key.
    pub organisation: Option<OrganisationId>,
    /// The service, if the route has several; without it the one with the largest weight.
    pub service: Option<ServiceId>,
    /// The model, if the request would name one.
    pub model: Option<ModelId>,
    /// Parts of the prompt in order.
    pub prompt: PromptPrefix,
    /// Number of prompt tokens and largest number of output tokens, if stated.
    pub tokens: Option<(u32, u32)>,
}

/// Why a description of a request is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DryRunError {
    /// The field.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl DryRunError {
    /// Creates the error of a field.
    #[must_use]
    pub fn new(field: &str, reason: impl fmt::Display) -> Self {
        Self { field: field.to_owned(), reason: reason.to_string() }
    }
}

impl fmt::Display for DryRunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for DryRunError {}

impl TryFrom<&str> for DryRunQuery {
    type Error = DryRunError;

    /// Reads the query of a URI: `host` and `path`, and optionally `organisation`, `service`, `model`,
    /// `prompt` (`ID:TOKENS` entries) and `tokens` (`PROMPT,OUTPUT`).
    fn try_from(query: &str) -> Result<Self, DryRunError> {
        let mut found = Self::default();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (field, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = decode(value).ok_or_else(|| DryRunError::new(field, "not valid text"))?;
            let invalid = |reason: &dyn fmt::Display| DryRunError::new(field, reason);
            match field {
                "host" => found.host = value,
                "path" => found.path = value,
                "organisation" => {
                    found.organisation = Some(value.parse().map_err(|error| invalid(&error))?);
                }
                "service" => found.service = Some(value.parse().map_err(|error| invalid(&error))?),
                "model" => found.model = Some(value.parse().map_err(|error| invalid(&error))?),
                "prompt" => found.prompt = parse_prompt(&value)?,
                "tokens" => found.tokens = Some(parse_tokens(&value)?),
                _ => return Err(invalid(&"unknown field")),
            }
        }
        for (field, value) in [("host", &found.host), ("path", &found.path)] {
            if value.is_empty() {
                return Err(DryRunError::new(field, "missing"));
            }
        }
        if !found.path.starts_with('/') {
            return Err(DryRunError::new("path", "does not begin with a slash"));
        }
        Ok(found)
    }
}

fn parse_tokens(value: &str) -> Result<(u32, u32), DryRunError> {
    let counts = value.split_once(',').and_then(|(prompt, output)| {
        Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
    });
    counts.ok_or_else(|| DryRunError::new("tokens", "expected PROMPT,OUTPUT, both whole numbers"))
}

fn parse_prompt(value: &str) -> Result<PromptPrefix, DryRunError> {
    for (index, entry) in value.split(',').enumerate() {
        let (id, tokens) = entry.split_once(':').unwrap_or((entry, ""));
        let is_valid = id.trim().parse::<cassiafield_core::ids::PromptPart>().is_ok()
            && tokens.trim().parse::<u32>().is_ok();
        if !is_valid {
            let reason = format!("entry {} is not ID:TOKENS: {entry:?}", index + 1);
            return Err(DryRunError::new("prompt", reason));
        }
    }
    Ok(value.parse().unwrap_or_else(|error: std::convert::Infallible| match error {}))
}

/// Decodes percent-encoded text; `None` if it is not valid.
fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let digits = [rest.next()?, rest.next()?];
                u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()?
            }
            b'+' => b' ',
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
}
