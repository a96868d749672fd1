use compact_str::{format_compact, CompactString};

/// A deterministic model whose tokens depend on each layer having run once, in order.
///
/// ```
/// use cassiafield_standin::ToyModel;
/// let model = ToyModel::new(8);
/// let completion = model.generate("moss", 5);
/// assert_eq!(completion, model.generate("moss", 5));
/// assert_ne!(completion, model.generate("clover", 5));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ToyModel {
    layers: u16,
}

impl ToyModel {
    /// Odd multiplier (2^64 divided by the golden ratio) that mixes the bits of each layer.
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    /// Values divisible by this end the completion, on average one token in this many.
    const STOP_MODULUS: u64 = 509;
    /// Number of distinct tokens.
    const VOCABULARY_TOKENS: u64 = 4_096;

    /// Creates a model of `layers` layers.
    #[must_use]
    pub const fn new(layers: u16) -> Self {
        Self { layers }
    }

    /// Returns the input of the first layer for the token at `position`.
    #[must_use]
    pub fn input(prompt: &str, previous: Option<&str>, position: u32) -> u64 {
        // 64-bit FNV-1a.
        let hash = |text: &str| {
            text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
            })
        };
        hash(prompt) ^ hash(previous.unwrap_or("")).rotate_left(17) ^ u64::from(position)
    }

    /// Returns the output of one layer.
    #[must_use]
    pub const fn run_layer(value: u64, layer: u16) -> u64 {
        (value.rotate_left(7) ^ (layer as u64 + 1)).wrapping_mul(Self::MULTIPLIER)
    }

    /// Returns the output of layers `start..end`.
    #[must_use]
    pub fn run_layers(value: u64, start: u16, end: u16) -> u64 {
        (start..end).fold(value, Self::run_layer)
    }

    /// Returns the token for the last layer's output, or `None` at the end of the completion.
    #[must_use]
    pub fn decode(value: u64) -> Option<CompactString> {
        let mixed = value ^ (value >> 31);
        (!mixed.is_multiple_of(Self::STOP_MODULUS))
            .then(|| format_compact!("w{} ", mixed % Self::VOCABULARY_TOKENS))
    }

    /// Returns the correct completion of a prompt, of at most `max_tokens` tokens.
    #[must_use]
    pub fn generate(&self, prompt: &str, max_tokens: u32) -> Vec<CompactString> {
        let mut tokens: Vec<CompactString> = Vec::new();
        for position in 0..max_tokens {
            let input = Self::input(prompt, tokens.last().map(CompactString::as_str), position);
            match Self::decode(Self::run_layers(input, 0, self.layers)) {
                Some(token) => tokens.push(token),
                None => break,
            }
        }
        tokens
    }
}
