/// Identifies what holds memory of a host's account.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HolderId(pub(super) u64);
