use {
    cassiafield_core::ids::{ModelId, StreamId},
    serde_json::{json, Value},
};

/// Formats an answer as the JSON of a text completion or a chat completion.
#[derive(Clone, Debug)]
pub struct CompletionFormat {
    chat: bool,
    id: String,
    model: ModelId,
    created: u64,
    token_prefix: String,
    token_suffix: String,
}

impl CompletionFormat {
    /// Placeholder for the text at which the event of a token is split into prefix and suffix.
    const TOKEN_PLACEHOLDER: &'static str = "<token>";

    /// Creates the format of one answer; `created` is in seconds since the Unix epoch.
    #[must_use]
    pub fn new(chat: bool, stream: StreamId, model: ModelId, created: u64) -> Self {
        let id = format!("{}-{stream}", if chat { "chatcmpl" } else { "cmpl" });
        let mut format = Self {
            chat,
            id,
            model,
            created,
            token_prefix: String::new(),
            token_suffix: String::new(),
        };
        let event = format.token_chunk(Self::TOKEN_PLACEHOLDER).to_string();
        let quoted = format!("\"{}\"", Self::TOKEN_PLACEHOLDER);
        if let Some((prefix, suffix)) = event.split_once(&quoted) {
            format.token_prefix = format!("data: {prefix}");
            format.token_suffix = suffix.to_owned();
        }
        format
    }

    /// Returns the complete answer.
    #[must_use]
    pub fn completion(&self, text: &str, finish_reason: &str, usage: &Value) -> Value {
        let choice = if self.chat {
            json!({ "index": 0, "finish_reason": finish_reason, "logprobs": null,
                "message": { "role": "assistant", "content": text } })
        } else {
            json!({ "index": 0, "finish_reason": finish_reason, "logprobs": null, "text": text })
        };
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        let mut answer = self.envelope(object, &[choice]);
        answer["usage"] = usage.clone();
        answer
    }

    /// Returns the first event of a stream, if the format has one.
    #[must_use]
    pub fn first_chunk(&self) -> Option<Value> {
        self.chat.then(|| self.chunk(&json!({ "role": "assistant", "content": "" }), "", None))
    }

    /// Writes the server-sent event of one token.
    ///
    /// Only the text differs between tokens, so the rest is formatted once per stream.
    pub fn write_token_event(&self, text: &str, out: &mut Vec<u8>) {
        out.extend_from_slice(self.token_prefix.as_bytes());
        out.extend_from_slice(Value::from(text).to_string().as_bytes());
        out.extend_from_slice(self.token_suffix.as_bytes());
        out.extend_from_slice(b"\n\n");
    }

    /// Returns the JSON of one token's event.
    #[must_use]
    pub fn token_chunk(&self, text: &str) -> Value {
        self.chunk(&json!({ "content": text }), text, None)
    }

    /// Returns the event that ends a complete answer.
    #[must_use]
    pub fn final_chunk(&self, finish_reason: &str) -> Value {
        self.chunk(&json!({}), "", Some(finish_reason))
    }

    /// Returns the event that reports the usage.
    #[must_use]
    pub fn usage_chunk(&self, usage: &Value) -> Value {
        let mut event = self.envelope(self.chunk_object(), &[]);
        event["usage"] = usage.clone();
        event
    }

    fn chunk_object(&self) -> &'static str {
        if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        }
    }

    fn chunk(&self, delta: &Value, text: &str, finish_reason: Option<&str>) -> Value {
        let choice = if self.chat {
            json!({ "index": 0, "delta": delta, "finish_reason": finish_reason, "logprobs": null })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": finish_reason, "logprobs": null })
        };
        self.envelope(self.chunk_object(), &[choice])
    }

    fn envelope(&self, object: &str, choices: &[Value]) -> Value {
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        })
    }
}
