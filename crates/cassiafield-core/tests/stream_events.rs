//! Streams that arrive in odd pieces, with events missing, doubled or torn.

use {
    cassiafield_core::request::{EventError, EventSplitter},
    proptest::prelude::*,
};

fn text(first: u64, count: u64) -> Vec<u8> {
    let events = (first..first + count).map(|id| format!("id: {id}\ndata: t{id}\n\n"));
    events.collect::<String>().into_bytes()
}

fn drain(splitter: &mut EventSplitter) -> Result<Vec<u64>, EventError> {
    let mut ids = Vec::new();
    while let Some(event) = splitter.next_event()? {
        ids.push(event.id);
    }
    Ok(ids)
}

#[test]
fn a_missing_event_is_found() {
    let mut splitter = EventSplitter::after(0);
    splitter.push(&text(1, 2));
    splitter.push(&text(4, 1));
    assert_eq!(drain(&mut splitter), Err(EventError::OutOfOrder { expected: 3, found: 4 }));
    assert_eq!(splitter.last_id(), Some(2));
}

#[test]
fn a_doubled_event_is_found() {
    let mut splitter = EventSplitter::after(4);
    splitter.push(&text(5, 1));
    splitter.push(&text(5, 1));
    assert_eq!(drain(&mut splitter), Err(EventError::OutOfOrder { expected: 6, found: 5 }));
}

#[test]
fn a_stream_that_goes_on_elsewhere_must_start_after_the_last_event() {
    let mut splitter = EventSplitter::after(7);
    splitter.push(&text(1, 3));
    assert_eq!(drain(&mut splitter), Err(EventError::OutOfOrder { expected: 8, found: 1 }));
}

#[test]
fn an_event_without_an_id_is_not_passed_on() {
    let mut splitter = EventSplitter::with_unknown_start();
    splitter.push(b"data: x\n\n");
    assert_eq!(drain(&mut splitter), Err(EventError::MissingId));
}

#[test]
fn an_endless_event_is_given_up() {
    let mut splitter = EventSplitter::with_unknown_start();
    for _ in 0..300 {
        splitter.push(&[b'x'; 1_024]);
    }
    assert_eq!(drain(&mut splitter), Err(EventError::TooLong));
}

proptest! {
    /// However the bytes are cut, the events come whole, once and in order, and a torn last event
    /// is not passed on.
    #[test]
    fn cuts_do_not_matter(cuts in prop::collection::vec(1_usize..40, 1..80), torn in 0_usize..12) {
        let whole = text(1, 30);
        let bytes = &whole[..whole.len() - torn];
        let mut splitter = EventSplitter::after(0);
        let (mut passed, mut ids, mut rest) = (Vec::new(), Vec::new(), bytes);
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let length = (*cuts.next().expect("a cycle")).min(rest.len());
            splitter.push(&rest[..length]);
            rest = &rest[length..];
            while let Some(event) = splitter.next_event().expect("no fault") {
                passed.extend_from_slice(&event.bytes);
                ids.push(event.id);
            }
        }
        prop_assert!(bytes.starts_with(&passed));
        prop_assert_eq!(ids.len(), if torn == 0 { 30 } else { 29 });
        prop_assert_eq!(splitter.has_partial_event(), torn != 0);
    }
}
