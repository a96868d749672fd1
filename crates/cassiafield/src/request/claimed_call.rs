use {
    crate::connection::{PlatformStore, StoreError, StoreSwap, SwapResult},
    cassiafield_core::request::{CallClaim, ClaimEvent, ClaimRecord, ClaimStep},
};

/// Makes the store call of a step and returns its event.
///
/// A call that did not reach the store is reported like an unanswered one; both are settled by
/// reading.
pub(crate) fn store_event(
    store: &dyn PlatformStore,
    key: &str,
    lease: Option<crate::connection::LeaseId>,
    step: &ClaimStep,
) -> ClaimEvent {
    match step {
        ClaimStep::Swap { expected, record } => {
            let Ok(value) = rmp_serde::to_vec_named(record) else {
                return ClaimEvent::StoreOutcomeUnknown;
            };
            let key = key.to_owned();
            let swap = StoreSwap { key, expected: *expected, value: Some(value), lease };
            match store.swap(&swap) {
                Ok(SwapResult::Won(revision)) => ClaimEvent::SwapWon(revision),
                Ok(SwapResult::Lost) => ClaimEvent::SwapLost,
                Err(_) => ClaimEvent::StoreOutcomeUnknown,
            }
        }
        _ => match read_claim(store, key) {
            Ok(found) => ClaimEvent::ReadDone(found),
            Err(_) => ClaimEvent::StoreOutcomeUnknown,
        },
    }
}

fn read_claim(
    store: &dyn PlatformStore,
    key: &str,
) -> Result<Option<(u64, ClaimRecord)>, StoreError> {
    let Some(entry) = store.read(key)? else { return Ok(None) };
    let record = rmp_serde::from_slice(&entry.value)
        .map_err(|error| StoreError::Unknown(error.to_string()))?;
    Ok(Some((entry.revision, record)))
}

/// Writes the final record of a call whose outcome did not reach the store.
///
/// Returns whether the matter is settled.
pub(crate) fn settle_claim(store: &dyn PlatformStore, key: &str, record: &ClaimRecord) -> bool {
    let Ok(found) = read_claim(store, key) else { return false };
    let Some(found) = found else { return false };
    match CallClaim::resolve(record, &found) {
        Some(step) => matches!(store_event(store, key, None, &step), ClaimEvent::SwapWon(_)),
        None => true,
    }
}
