use {
    crate::ids::PromptPart,
    std::{
        hash::{DefaultHasher, Hash as _, Hasher as _},
        str::FromStr,
    },
};

/// The parts of a request's prompt that other requests may share, in order.
///
/// The last part belongs to the request itself or to its session and is not among them.
///
/// ```
/// use cassiafield_core::request::PromptPrefix;
/// let prefix: PromptPrefix = "5c1e:800,91bd:410,e440:250".parse().unwrap();
/// let parts: Vec<&str> = prefix.shared().iter().map(|part| part.as_str()).collect();
/// assert_eq!(parts, ["5c1e", "91bd"]);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptPrefix {
    shared: Vec<PromptPart>,
    /// Lengths of the first shared parts, up to one whose length is not stated or that is repeated.
    lengths: Vec<u32>,
    own: u64,
}

impl PromptPrefix {
    /// Maximum number of shared parts that are read; further ones are ignored.
    const MAX_PARTS: usize = 32;

    /// Returns the parts that other requests may share.
    #[must_use]
    pub fn shared(&self) -> &[PromptPart] {
        &self.shared
    }

    /// Returns the parts at the beginning of the prompt whose lengths are known, with their lengths in
    /// tokens.
    ///
    /// It ends before a part that is invalid or repeated: what follows is not known to be a beginning.
    pub fn beginning(&self) -> impl Iterator<Item = (&PromptPart, u32)> {
        self.shared.iter().zip(self.lengths.iter().copied())
    }

    /// Returns a number that is equal for requests with the same last part.
    #[must_use]
    pub const fn own(&self) -> u64 {
        self.own
    }
}

impl FromStr for PromptPrefix {
    type Err = std::convert::Infallible;

    /// Reads comma-separated `ID:TOKENS` entries; entries without a valid identifier are ignored.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (rest, last) = text.rsplit_once(',').unwrap_or(("", text));
        let id = |entry: &str| entry.split(':').next().unwrap_or_default().trim().parse().ok();
        let mut hasher = DefaultHasher::new();
        last.split(':').next().unwrap_or_default().trim().hash(&mut hasher);
        let length = |entry: &str| entry.split(':').nth(1)?.trim().parse::<u32>().ok();
        let mut shared: Vec<PromptPart> = Vec::new();
        let mut lengths: Vec<u32> = Vec::new();
        let mut is_beginning = true;
        for entry in rest.split(',').take(Self::MAX_PARTS) {
            let part: Option<PromptPart> = id(entry);
            let is_new = part.as_ref().is_some_and(|part| !shared.contains(part));
            let length = length(entry).filter(|_| is_new && is_beginning);
            is_beginning = length.is_some();
            lengths.extend(length);
            shared.extend(part.filter(|_| is_new));
        }
        Ok(Self { shared, lengths, own: hasher.finish() })
    }
}
