use crate::ids::Moment;

/// The newest revision of the configuration that peers have mentioned.
///
/// A revision is awaited until the host has it, or until a read of the store that began after the
/// notice has been answered without it: then the store has lost it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RevisionNotice {
    /// The awaited revision and when a peer first mentioned it.
    awaited: Option<(u64, Moment)>,
    /// The last revision that the store did not have, and the host's own revision then.
    missing: Option<(u64, u64)>,
}

impl RevisionNotice {
    /// Records that a peer has `revision`, and returns `true` if it is news to a host with revision
    /// `own`.
    ///
    /// Up to a revision that the store did not have, nothing is news until the host's own revision
    /// changes: peers repeat what they have with each message.
    pub fn record(&mut self, revision: u64, own: u64, now: Moment) -> bool {
        let newest = self.awaited.map_or(own, |(awaited, _)| awaited.max(own));
        let is_missing =
            self.missing.is_some_and(|(missing, own_then)| own == own_then && revision <= missing);
        let is_news = revision > newest && !is_missing;
        if is_news {
            self.awaited = Some((revision, now));
        }
        is_news
    }

    /// Records that the store answered a read that began at `requested_at`, after which the host has
    /// revision `own`.
    pub fn record_answer(&mut self, own: u64, requested_at: Moment) {
        let Some((revision, heard_at)) = self.awaited else { return };
        if own >= revision {
            self.awaited = None;
        } else if requested_at >= heard_at {
            self.awaited = None;
            self.missing = Some((revision, own));
        }
    }

    /// Returns `true` if a host with revision `own` should read a newer one.
    #[must_use]
    pub fn is_awaited(&self, own: u64) -> bool {
        self.awaited.is_some_and(|(revision, _)| revision > own)
    }
}
