/// What became of the retry that a request's next send needs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum RetryGrant {
    /// It has not been asked for.
    #[default]
    Unasked,
    /// It is granted and not used yet.
    Granted,
    /// The retry budget is used up.
    Denied,
}
