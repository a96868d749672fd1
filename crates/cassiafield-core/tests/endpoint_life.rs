//! Runs of endpoints as hosts name them to each other.

use {
    cassiafield_core::process::{EndpointIncarnation, EndpointLife, EndpointLifeError},
    proptest::prelude::*,
};

#[test]
fn a_text_that_names_no_run_is_refused() {
    let parse = |text: &str| text.parse::<EndpointLife>();
    for text in ["", "i-1", "i-1/", "i-1/x", "i-1/-1"] {
        assert_eq!(parse(text), Err(EndpointLifeError::NoIncarnation), "{text:?}");
    }
    for text in ["/1", "i 1/1", "a/b/1", "i-1/1/"] {
        assert!(matches!(parse(text), Err(EndpointLifeError::BadName(_))), "{text:?}");
    }
}

proptest! {
    #[test]
    fn a_run_is_read_as_it_is_written(name in "[a-z0-9.:_-]{1,64}", number in any::<u64>()) {
        let endpoint = name.parse().expect("a name");
        let life = EndpointLife { endpoint, incarnation: EndpointIncarnation(number) };
        prop_assert_eq!(life.to_string().parse(), Ok(life));
    }
}
