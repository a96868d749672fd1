use {
    cassiafield_core::ids::{ModelId, StreamId},
    serde_json::{json, Value},
};

/// The JSON shape of an answer: text completion or chat.
#[derive(Clone, Debug)]
pub struct AnswerShape {
    chat: bool,
    id: String,
    model: ModelId,
    created: u64,
    token_head: String,
    token_tail: String,
}

impl AnswerShape {
    /// Stands for a token's text where the event of a token is cut in two.
    const TOKEN_MARK: &'static str = "<token>";
    /// Creates the shape of one answer; `created` is in seconds since the Unix epoch.
    #[must_use]
    pub fn new(chat: bool, stream: StreamId, model: ModelId, created: u64) -> Self {
        let id = format!("{}-{stream}", if chat { "chatcmpl" } else { "cmpl" });
        let mut shape =
            Self { chat, id, model, created, token_head: String::new(), token_tail: String::new() };
        let event = shape.token(Self::TOKEN_MARK).to_string();
        let quoted = format!("\"{}\"", Self::TOKEN_MARK);
        if let Some((head, tail)) = event.split_once(&quoted) {
            shape.token_head = format!("data: {head}");
            shape.token_tail = tail.to_owned();
        }
        shape
    }

    /// Returns the whole answer.
    #[must_use]
    pub fn whole(&self, text: &str, finish: &str, usage: &Value) -> Value {
        let choice = if self.chat {
            json!({ "index": 0, "finish_reason": finish, "logprobs": null,
                "message": { "role": "assistant", "content": text } })
        } else {
            json!({ "index": 0, "finish_reason": finish, "logprobs": null, "text": text })
        };
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        let mut answer = self.envelope(object, &[choice]);
        answer["usage"] = usage.clone();
        answer
    }

    /// Returns the event that opens a stream, if the shape has one.
    #[must_use]
    pub fn opening(&self) -> Option<Value> {
        self.chat.then(|| self.chunk(&json!({ "role": "assistant", "content": "" }), "", None))
    }

    /// Writes the event of one token as it goes over the wire.
    ///
    /// Only the text differs from token to token, so the rest is formatted once a stream.
    pub fn write_token(&self, text: &str, out: &mut Vec<u8>) {
        out.extend_from_slice(self.token_head.as_bytes());
        out.extend_from_slice(Value::from(text).to_string().as_bytes());
        out.extend_from_slice(self.token_tail.as_bytes());
        out.extend_from_slice(b"\n\n");
    }

    /// Returns the event of one token.
    #[must_use]
    pub fn token(&self, text: &str) -> Value {
        self.chunk(&json!({ "content": text }), text, None)
    }

    /// Returns the event that ends a whole answer.
    #[must_use]
    pub fn closing(&self, finish: &str) -> Value {
        self.chunk(&json!({}), "", Some(finish))
    }

    /// Returns the event that tells the usage.
    #[must_use]
    pub fn usage(&self, usage: &Value) -> Value {
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

    fn chunk(&self, delta: &Value, text: &str, finish: Option<&str>) -> Value {
        let choice = if self.chat {
            json!({ "index": 0, "delta": delta, "finish_reason": finish, "logprobs": null })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": finish, "logprobs": null })
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
