//! Fingerprints of requests, by which hosts know them again.

use {
    cassiafield_core::request::{FingerprintSource, RequestFingerprint},
    proptest::prelude::*,
};

const LOOKUP: FingerprintSource<'_> = FingerprintSource {
    method: "GET",
    host: b"orders.example",
    target: "/orders/5?full=1",
    organisation: "org",
    prompt: b"",
    body: b"",
};

fn fingerprint(source: FingerprintSource<'_>) -> String {
    RequestFingerprint::from(source).to_string()
}

/// Guards against fingerprints that differ between hosts or versions, which would not know a request
/// again that ends endpoints.
#[test]
fn a_fingerprint_is_the_same_everywhere_and_always() {
    assert_eq!(fingerprint(LOOKUP), "dc65aa734c1229ec041ef50c82e28ae8");
}

/// Guards against taking different requests for one.
#[test]
fn every_part_of_a_request_counts() {
    let others = [
        FingerprintSource { method: "POST", ..LOOKUP },
        FingerprintSource { host: b"order.example", ..LOOKUP },
        FingerprintSource { target: "/orders/5?full=0", ..LOOKUP },
        FingerprintSource { organisation: "other", ..LOOKUP },
        FingerprintSource { prompt: b"aa:1,bb:2", ..LOOKUP },
        FingerprintSource { body: b"x", ..LOOKUP },
        FingerprintSource { target: "/orders/5?full=1o", organisation: "rg", ..LOOKUP },
    ];
    for other in others {
        assert_ne!(fingerprint(other), fingerprint(LOOKUP), "{other:?}");
    }
}

proptest! {
    #[test]
    fn a_fingerprint_reads_back_from_its_text(body in proptest::collection::vec(any::<u8>(), 0..99)) {
        let found = RequestFingerprint::from(FingerprintSource { body: &body, ..LOOKUP });
        prop_assert_eq!(found.to_string().parse::<RequestFingerprint>(), Ok(found));
    }
}

#[test]
fn texts_that_are_no_fingerprints_are_refused() {
    for text in ["", "5", "+1234567890123456789012345678901", &"f".repeat(33), &"g".repeat(32)] {
        assert!(text.parse::<RequestFingerprint>().is_err(), "{text:?}");
    }
}
