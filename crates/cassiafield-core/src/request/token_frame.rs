use {
    crate::{ids::StreamId, request::LayerSpan},
    compact_str::CompactString,
    serde::{
        de::{Error as _, MapAccess, Visitor},
        ser::SerializeStruct as _,
        Deserialize, Deserializer, Serialize, Serializer,
    },
    std::fmt,
};

/// A token sent by an engine, with the fields that validate it.
///
/// Serialisation is written by hand for speed, because every generated token is sent as a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenFrame {
    /// Stream that the frame belongs to.
    pub stream: StreamId,
    /// Attempt that the frame belongs to, counted from 1.
    pub attempt: u32,
    /// Position of the token in the answer, counted from 0.
    pub position: u32,
    /// Text of the token; `None` marks the end of the answer at `position`.
    pub text: Option<CompactString>,
    /// Layer spans that computed the token, in order of execution.
    pub spans: Vec<LayerSpan>,
}

const FIELDS: &[&str] = &["s", "a", "p", "t", "l"];

impl Serialize for TokenFrame {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut frame = serializer.serialize_struct("TokenFrame", FIELDS.len())?;
        frame.serialize_field("s", &self.stream)?;
        frame.serialize_field("a", &self.attempt)?;
        frame.serialize_field("p", &self.position)?;
        frame.serialize_field("t", &self.text)?;
        frame.serialize_field("l", &self.spans)?;
        frame.end()
    }
}

struct FrameVisitor;

impl<'de> Visitor<'de> for FrameVisitor {
    type Value = TokenFrame;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a token frame")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<TokenFrame, A::Error> {
        let (mut stream, mut attempt, mut position) = (None, None, None);
        let (mut text, mut spans) = (None, Vec::new());
        while let Some(key) = map.next_key::<&str>()? {
            match key {
                "s" => stream = Some(map.next_value()?),
                "a" => attempt = Some(map.next_value()?),
                "p" => position = Some(map.next_value()?),
                "t" => text = map.next_value()?,
                "l" => spans = map.next_value()?,
                other => return Err(A::Error::unknown_field(other, FIELDS)),
            }
        }
        Ok(TokenFrame {
            stream: stream.ok_or_else(|| A::Error::missing_field("s"))?,
            attempt: attempt.ok_or_else(|| A::Error::missing_field("a"))?,
            position: position.ok_or_else(|| A::Error::missing_field("p"))?,
            text,
            spans,
        })
    }
}

impl<'de> Deserialize<'de> for TokenFrame {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_struct("TokenFrame", FIELDS, FrameVisitor)
    }
}
