use {
    cassiafield_core::ids::ModelId,
    serde_json::Value,
    std::{fmt, hash::Hasher as _},
};

/// A validated completion request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompletionRequest {
    /// The model.
    pub model: ModelId,
    /// The prompt, or the messages of a chat, each prefixed with its role.
    pub prompt: String,
    /// Maximum number of tokens to generate; `None` selects the default within the plan.
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the stream ends with a usage event.
    pub stream_usage: bool,
}

/// An invalid field of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldError {
    /// The field.
    pub field: String,
    /// The expected value.
    pub expected: &'static str,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}", self.field, self.expected)
    }
}

impl std::error::Error for FieldError {}

impl CompletionRequest {
    /// Length of the prompt prefix that is hashed for prefix-cache affinity.
    const PREFIX_HASH_BYTES: usize = 256;

    /// Parses and validates the body of `/v1/completions`.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn from_completion(body: &[u8]) -> Result<Self, FieldError> {
        let body = parse(body)?;
        let prompt = match &body["prompt"] {
            Value::String(text) => text.clone(),
            Value::Array(parts) if parts.len() == 1 && parts[0].is_string() => {
                parts[0].as_str().unwrap_or_default().to_owned()
            }
            _ => return Err(field_error("prompt", "a text")),
        };
        Self::from_parts(&body, prompt)
    }

    /// Parses and validates the body of `/v1/chat/completions`.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn from_chat(body: &[u8]) -> Result<Self, FieldError> {
        let body = parse(body)?;
        let messages = body["messages"].as_array().filter(|messages| !messages.is_empty());
        let messages = messages.ok_or_else(|| field_error("messages", "a list with a message"))?;
        let mut prompt = String::new();
        for (index, message) in messages.iter().enumerate() {
            let role = message["role"].as_str();
            let role =
                role.ok_or_else(|| field_error(format!("messages[{index}].role"), "a text"))?;
            let content = message_text(&message["content"]);
            let content = content
                .ok_or_else(|| field_error(format!("messages[{index}].content"), "a text"))?;
            prompt.push_str(&format!("{role}: {content}\n"));
        }
        Self::from_parts(&body, prompt)
    }

    /// Returns the hash of the prompt prefix, by which requests are routed to endpoints that may
    /// have it cached.
    #[must_use]
    pub fn prefix_hash(&self) -> u64 {
        let bytes = self.prompt.as_bytes();
        let mut hasher = std::hash::DefaultHasher::new();
        hasher.write(&bytes[..bytes.len().min(Self::PREFIX_HASH_BYTES)]);
        hasher.finish()
    }

    fn from_parts(body: &Value, prompt: String) -> Result<Self, FieldError> {
        let model = body["model"].as_str().unwrap_or_default();
        let model = model.parse().map_err(|_| field_error("model", "the name of a model"))?;
        for field in ["n", "best_of"] {
            if !body[field].is_null() && body[field] != 1 {
                return Err(field_error(field, "1, the only value served"));
            }
        }
        let field = ["max_completion_tokens", "max_tokens"];
        let field = field.into_iter().find(|field| !body[*field].is_null());
        let max_tokens = field.map(|field| parse_positive(&body[field], field)).transpose()?;
        let stream = match &body["stream"] {
            Value::Null => false,
            Value::Bool(stream) => *stream,
            _ => return Err(field_error("stream", "true or false")),
        };
        let stream_usage = body["stream_options"]["include_usage"] == true;
        Ok(Self { model, prompt, max_tokens, stream, stream_usage })
    }
}

fn field_error(field: impl Into<String>, expected: &'static str) -> FieldError {
    FieldError { field: field.into(), expected }
}

fn parse(body: &[u8]) -> Result<Value, FieldError> {
    let parsed: Result<Value, _> = serde_json::from_slice(body);
    match parsed {
        Ok(value) if value.is_object() => Ok(value),
        Ok(_) => Err(field_error("body", "a JSON object")),
        Err(error) => Err(field_error(
            format!("body, line {} column {}", error.line(), error.column()),
            "a JSON object",
        )),
    }
}

/// Returns the text of a message: a string, or the concatenated text parts of an array.
fn message_text(content: &Value) -> Option<String> {
    match content {
        Value::String(text) => Some(text.clone()),
        Value::Array(parts) => {
            parts.iter().map(|part| part["text"].as_str()).collect::<Option<String>>()
        }
        _ => None,
    }
}

fn parse_positive(value: &Value, field: &str) -> Result<u32, FieldError> {
    let number = value.as_u64().and_then(|number| u32::try_from(number).ok());
    number.filter(|&number| number > 0).ok_or_else(|| field_error(field, "a whole number above 0"))
}
