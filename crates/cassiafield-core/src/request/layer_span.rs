use std::fmt;

/// A half-open range of model layers, `start..end`, never empty.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "(u16, u16)", into = "(u16, u16)")]
pub struct LayerSpan {
    start: u16,
    end: u16,
}

/// Error for a layer span that is empty or reversed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SpanError {
    /// Start that was given.
    pub start: u16,
    /// End that was given, one past the last layer.
    pub end: u16,
}

impl LayerSpan {
    /// Returns the first layer.
    #[must_use]
    pub const fn start(self) -> u16 {
        self.start
    }

    /// Returns the exclusive end of the span.
    #[must_use]
    pub const fn end(self) -> u16 {
        self.end
    }

    /// Returns the number of layers.
    #[must_use]
    pub const fn layers(self) -> u16 {
        self.end - self.start
    }
}

impl TryFrom<(u16, u16)> for LayerSpan {
    type Error = SpanError;

    fn try_from((start, end): (u16, u16)) -> Result<Self, SpanError> {
        if start < end {
            Ok(Self { start, end })
        } else {
            Err(SpanError { start, end })
        }
    }
}

impl From<LayerSpan> for (u16, u16) {
    fn from(span: LayerSpan) -> Self {
        (span.start, span.end)
    }
}

impl fmt::Display for LayerSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.start, self.end)
    }
}

impl fmt::Display for SpanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "layer span {}..{} is empty", self.start, self.end)
    }
}

impl std::error::Error for SpanError {}
