use {
    crate::{
        connection::{CompareAndSwap, PlatformStore, StoreEntry, StoreError, SwapResult},
        version::{ListVersion, LISTS_KEY},
    },
    cassiafield_core::{
        ids::ListRevision,
        version::{EditOutcome, FleetLists, ListEdit, ListError},
    },
    std::{
        fmt,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// An accepted edit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EditReceipt {
    /// Revision of the lists that include the edit.
    pub revision: ListRevision,
}

/// Why an edit was not accepted.
#[derive(Debug)]
pub enum EditError {
    /// The edit is invalid for the current lists.
    Refused(ListError),
    /// A store call failed before the edit was written; the edit has no effect.
    NotWritten(StoreError),
    /// The outcome is unknown; submitting the edit again with the same id is safe.
    Unknown(StoreError),
    /// The stored lists cannot be parsed.
    Unreadable(String),
    /// The lists would have this many bytes, more than the store accepts.
    TooLarge(usize),
    /// Every attempt conflicted with a concurrent edit; the edit has no effect.
    Contended,
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EditError::Refused(error) => write!(f, "refused: {error}"),
            EditError::NotWritten(error) => write!(f, "not written: {error}"),
            EditError::Unknown(error) => {
                write!(f, "it is not known whether it was written: {error}")
            }
            EditError::Unreadable(error) => write!(f, "the stored lists cannot be read: {error}"),
            EditError::TooLarge(size) => write!(
                f,
                "the lists would have {size} bytes, the store holds {}",
                ListEditor::MAX_LIST_BYTES
            ),
            EditError::Contended => {
                f.write_str("not written: every attempt conflicted with a concurrent edit")
            }
        }
    }
}

impl std::error::Error for EditError {}

/// Applies edits to the newest stored lists and writes them with compare-and-swap.
pub struct ListEditor {
    store: Arc<dyn PlatformStore>,
    max_retry_delay: Duration,
    timeout: Duration,
}

impl ListEditor {
    /// Maximum size of the lists; the store accepts no larger value.
    pub const MAX_LIST_BYTES: usize = 1_000_000;
    /// Compare-and-swap conflicts after which an edit is abandoned.
    const MAX_CONFLICTS: u32 = 1_000;
    /// Store calls that could not be sent after which an edit is abandoned.
    const MAX_UNSENT_CALLS: u32 = 3;
    /// Time after which an edit is abandoned.
    const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

    /// Creates an editor.
    #[must_use]
    pub fn new(store: Arc<dyn PlatformStore>) -> Self {
        Self { store, max_retry_delay: Duration::from_millis(20), timeout: Self::DEFAULT_TIMEOUT }
    }

    /// Sets the maximum delay before a retry; the actual delay is random.
    #[must_use]
    pub const fn max_retry_delay(mut self, max_retry_delay: Duration) -> Self {
        self.max_retry_delay = max_retry_delay;
        self
    }

    /// Sets the time after which an edit is abandoned.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Reads the stored lists; revision 0 means that there are none yet.
    ///
    /// # Errors
    ///
    /// Returns why they cannot be read.
    pub fn read(&self) -> Result<ListVersion, EditError> {
        let found = self.store.read(LISTS_KEY).map_err(EditError::NotWritten)?;
        parse(found.as_ref())
    }

    /// Submits an edit, retrying on conflicts and failed calls.
    ///
    /// The id of the edit is stored in the lists, so a write with an unknown outcome is resolved by
    /// reading them back.
    ///
    /// # Errors
    ///
    /// Returns why the edit was not accepted; [`EditError::Unknown`] if it may have taken effect.
    pub fn submit(&self, edit: &ListEdit) -> Result<EditReceipt, EditError> {
        let deadline = Instant::now() + self.timeout;
        let (mut conflicts, mut unsent) = (0, 0);
        let mut unknown_outcome = None;
        loop {
            let failure = match self.try_submit(edit) {
                Ok(Some(receipt)) => return Ok(receipt),
                Ok(None) => {
                    conflicts += 1;
                    EditError::Contended
                }
                Err(EditError::Unknown(error)) => {
                    unknown_outcome = Some(error.clone());
                    EditError::Unknown(error)
                }
                Err(EditError::NotWritten(error)) => {
                    unsent += u32::from(matches!(error, StoreError::NotSent(_)));
                    EditError::NotWritten(error)
                }
                Err(error) => return Err(error),
            };
            let unreachable = unknown_outcome.is_none() && unsent >= Self::MAX_UNSENT_CALLS;
            if conflicts >= Self::MAX_CONFLICTS || unreachable || Instant::now() >= deadline {
                return Err(unknown_outcome.map_or(failure, EditError::Unknown));
            }
            thread::sleep(self.max_retry_delay.mul_f64(fastrand::f64()));
        }
    }

    /// Attempts the edit once; returns `None` on a compare-and-swap conflict.
    fn try_submit(&self, edit: &ListEdit) -> Result<Option<EditReceipt>, EditError> {
        let found = self.store.read(LISTS_KEY).map_err(EditError::NotWritten)?;
        let version = parse(found.as_ref())?;
        let lists = match version.lists.apply(edit).map_err(EditError::Refused)? {
            EditOutcome::AlreadyApplied => {
                return Ok(Some(EditReceipt { revision: version.revision }));
            }
            EditOutcome::Applied(lists) => lists,
        };
        let value = encode(&lists)?;
        let expected = found.map(|entry| entry.revision);
        let swap =
            CompareAndSwap { key: LISTS_KEY.into(), expected, value: Some(value), lease: None };
        match self.store.compare_and_swap(&swap) {
            Ok(SwapResult::Applied(revision)) => {
                Ok(Some(EditReceipt { revision: ListRevision(revision) }))
            }
            Ok(SwapResult::Conflict) => Ok(None),
            Err(StoreError::Unknown(reason)) => {
                Err(EditError::Unknown(StoreError::Unknown(reason)))
            }
            Err(error) => Err(EditError::NotWritten(error)),
        }
    }
}

fn encode(lists: &FleetLists) -> Result<Vec<u8>, EditError> {
    let value =
        serde_json::to_vec(lists).map_err(|error| EditError::Unreadable(error.to_string()))?;
    if value.len() > ListEditor::MAX_LIST_BYTES {
        return Err(EditError::TooLarge(value.len()));
    }
    Ok(value)
}

fn parse(found: Option<&StoreEntry>) -> Result<ListVersion, EditError> {
    let Some(entry) = found else { return Ok(ListVersion::default()) };
    let lists = serde_json::from_slice(&entry.value)
        .map_err(|error| EditError::Unreadable(error.to_string()))?;
    Ok(ListVersion { revision: ListRevision(entry.revision), lists })
}
