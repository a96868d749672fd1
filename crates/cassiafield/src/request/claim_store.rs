use {
    crate::connection::{CompareAndSwap, PlatformStore, StoreError, SwapResult},
    cassiafield_core::request::{CallClaim, ClaimEvent, ClaimRecord, ClaimStep},
};

/// Executes the store call of a claim step and returns the resulting event.
///
/// A call that was not sent is reported like one with an unknown outcome; the claim resolves both
/// by reading the key back.
pub(crate) fn run_store_step(
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
            let swap = CompareAndSwap { key, expected: *expected, value: Some(value), lease };
            match store.compare_and_swap(&swap) {
                Ok(SwapResult::Applied(revision)) => ClaimEvent::SwapWon(revision),
                Ok(SwapResult::Conflict) => ClaimEvent::SwapLost,
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
/// Returns `true` if the claim is settled, so that no further write is needed.
pub(crate) fn settle_claim(store: &dyn PlatformStore, key: &str, record: &ClaimRecord) -> bool {
    let Ok(found) = read_claim(store, key) else { return false };
    let Some(found) = found else { return false };
    match CallClaim::resolve(record, &found) {
        Some(step) => matches!(run_store_step(store, key, None, &step), ClaimEvent::SwapWon(_)),
        None => true,
    }
}
