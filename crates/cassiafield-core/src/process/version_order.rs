use crate::ids::Moment;

/// What a host does with a configuration that the store returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionVerdict {
    /// It is newer and replaces the current one.
    Newer,
    /// The store has nothing newer than the current one.
    Confirmed,
    /// It is older than what the store had returned before, and says nothing of the current one.
    Outdated,
}

/// The configuration that is in force, by version and by the store's revision.
///
/// Operators raise the version with each change, and the store raises the revision with each write.
/// Answers may arrive in another order than they were made.
///
/// ```
/// use cassiafield_core::{ids::Moment, process::{VersionOrder, VersionVerdict}};
///
/// let mut order = VersionOrder::default();
/// let (early, late) = (Moment::from_millis(1_000), Moment::from_millis(2_000));
/// assert_eq!(order.record(5, 40, late, late), VersionVerdict::Newer);
/// assert_eq!(order.record(4, 30, early, late), VersionVerdict::Outdated);
/// assert_eq!(order.revision(), 40);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionOrder {
    version: u64,
    revision: u64,
    learned_at: Option<Moment>,
}

impl VersionOrder {
    /// Records a version and its revision from an answer to a call of `requested_at`, and returns
    /// what to do with it.
    ///
    /// The store may number a version anew after a loss. The revision falls only with an answer to a
    /// call that began after the current revision was learned, and never with an older version.
    pub fn record(
        &mut self,
        version: u64,
        revision: u64,
        requested_at: Moment,
        now: Moment,
    ) -> VersionVerdict {
        let is_first = self.learned_at.is_none();
        if is_first || version > self.version {
            *self = Self { version, revision, learned_at: Some(now) };
            return VersionVerdict::Newer;
        }
        let is_late = self.learned_at.is_some_and(|learned_at| requested_at < learned_at);
        if revision < self.revision && (is_late || version < self.version) {
            return VersionVerdict::Outdated;
        }
        if revision != self.revision {
            self.revision = revision;
            self.learned_at = Some(now);
        }
        VersionVerdict::Confirmed
    }

    /// Returns the version in force; 0 without one.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the revision of the version in force; 0 without one.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }
}
