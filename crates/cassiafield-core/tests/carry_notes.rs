//! What hosts tell each other about requests that they hand over.

use {
    cassiafield_core::request::{CarryNote, CarryNoteError},
    std::time::Duration,
};

fn note() -> CarryNote {
    CarryNote {
        host: "host-1".parse().expect("a name"),
        token: 42,
        elapsed: Duration::from_millis(1_250),
        sends: 2,
        ends: 1,
        revision: 77,
        is_counted: true,
        has_retry: true,
        unanswered: 3,
        sent_to: vec!["i-1".parse().expect("a name"), "i-2".parse().expect("a name")],
    }
}

#[test]
fn a_note_survives_its_text() {
    let text = note().to_string();
    assert_eq!(
        text,
        "host-1 token=42 elapsed-ms=1250 sends=2 ends=1 revision=77 counted=yes retry=yes \
         unanswered=3 sent-to=i-1,i-2"
    );
    assert_eq!(text.parse(), Ok(note()));
    let empty = CarryNote { sent_to: Vec::new(), is_counted: false, has_retry: false, ..note() };
    assert_eq!(empty.to_string().parse(), Ok(empty));
}

#[test]
fn an_invalid_note_is_rejected_with_its_field() {
    let text = note().to_string();
    let cases = [
        ("", "a name must not be empty"),
        ("host-1", "the field token is missing"),
        ("host-1 token=1", "the field elapsed-ms is missing"),
        (&text.replace("sends=2", "sends=x"), "the field sends: invalid digit found in string"),
        (&text.replace("sends=2", "sends=-1"), "the field sends: invalid digit found in string"),
        (&text.replace("counted=yes", "counted=1"), "the field counted is neither yes nor no"),
        (&text.replace("retry=yes", "retry=2"), "the field retry is neither yes nor no"),
        (&text.replace(" retry=yes", ""), "the field retry is missing"),
        (&text.replace(" unanswered=3", ""), "the field unanswered is missing"),
        (&text.replace(" revision=77", ""), "the field revision is missing"),
        (&text.replace("i-1,i-2", "i-1,i/2"), "a name consists of"),
    ];
    for (text, expected) in cases {
        let error = text.parse::<CarryNote>().map(|note| note.to_string());
        let found = error.as_ref().err().map(ToString::to_string).unwrap_or_default();
        assert!(found.contains(expected), "{text:?}: {error:?}");
    }
}

#[test]
fn a_note_that_names_too_many_endpoints_is_rejected() {
    let many = vec!["i-1".parse().expect("a name"); 17];
    let text = CarryNote { sent_to: many, ..note() }.to_string();
    assert_eq!(text.parse::<CarryNote>(), Err(CarryNoteError::TooManyEndpoints(17)));
}
