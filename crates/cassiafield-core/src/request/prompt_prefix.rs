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
        let mut shared: Vec<PromptPart> = Vec::new();
        for part in rest.split(',').take(Self::MAX_PARTS).filter_map(id) {
            if !shared.contains(&part) {
                shared.push(part);
            }
        }
        Ok(Self { shared, own: hasher.finish() })
    }
}
