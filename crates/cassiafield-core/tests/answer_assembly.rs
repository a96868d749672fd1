//! Checks that the delivered tokens are in order and unique whatever frames an endpoint sends, and
//! that invalid routes are rejected.

use {
    cassiafield_core::{
        ids::StreamId,
        request::{
            AnswerAssembly, FrameAction, LayerSpan, RouteDraft, RouteError, RouteStage, StageRoute,
            TokenFrame,
        },
    },
    proptest::prelude::*,
};

const STREAM: StreamId = StreamId(7);

fn span(start: u16, end: u16) -> LayerSpan {
    LayerSpan::try_from((start, end)).unwrap()
}

fn stage(name: &str, start: u16, end: u16) -> RouteStage {
    RouteStage {
        endpoint: name.parse().unwrap(),
        address: "127.0.0.1:1".into(),
        span: span(start, end),
    }
}

fn draft(stages: Vec<RouteStage>) -> RouteDraft {
    RouteDraft { model: "m".parse().unwrap(), layers: 16, stages }
}

fn route() -> StageRoute {
    StageRoute::try_from(draft(vec![stage("a", 0, 8), stage("b", 8, 16)])).unwrap()
}

fn frame(attempt: u32, position: u32) -> TokenFrame {
    TokenFrame {
        stream: STREAM,
        attempt,
        position,
        text: Some(format!("t{position}").into()),
        spans: vec![span(0, 8), span(8, 16)],
    }
}

fn any_frame() -> impl Strategy<Value = TokenFrame> {
    let spans = prop_oneof![
        4 => Just(vec![span(0, 8), span(8, 16)]),
        1 => Just(vec![span(8, 16), span(0, 8)]),
        1 => Just(vec![span(0, 8)]),
        1 => Just(vec![span(0, 8), span(0, 8), span(8, 16)]),
    ];
    let stream = prop_oneof![4 => Just(STREAM), 1 => Just(StreamId(8))];
    (stream, 0..4_u32, 0..12_u32, any::<bool>(), spans).prop_map(
        |(stream, attempt, position, ends, spans)| {
            let own = stream == STREAM && !ends;
            let text = own.then(|| format!("t{position}").into());
            let text = if stream == STREAM { text } else { Some("foreign".into()) };
            TokenFrame { stream, attempt, position, text, spans }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn delivered_tokens_are_unique_and_in_order(
        frames in proptest::collection::vec(any_frame(), 0..120),
        restarts in proptest::collection::vec(0..120_usize, 0..4),
    ) {
        let mut assembly = AnswerAssembly::new(STREAM);
        assembly.begin_attempt(&route());
        let mut delivered = Vec::new();
        for (index, frame) in frames.into_iter().enumerate() {
            if restarts.contains(&index) {
                assembly.begin_attempt(&route());
            }
            if let FrameAction::Deliver(text) = assembly.accept(frame) {
                prop_assert!(!assembly.is_complete());
                delivered.push(text);
            }
        }
        for (position, text) in delivered.iter().enumerate() {
            prop_assert_eq!(text.as_str(), format!("t{position}"));
        }
        prop_assert_eq!(assembly.tokens(), &delivered[..]);
    }

    #[test]
    fn a_frame_round_trips_through_json(frame in any_frame()) {
        let text = serde_json::to_string(&frame).unwrap();
        let decoded: TokenFrame = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(decoded, frame);
    }
}

#[test]
fn a_late_frame_of_the_previous_attempt_is_dropped() {
    let mut assembly = AnswerAssembly::new(STREAM);
    let first = assembly.begin_attempt(&route());
    assert!(matches!(assembly.accept(frame(first, 0)), FrameAction::Deliver(_)));
    let second = assembly.begin_attempt(&route());
    assert!(matches!(assembly.accept(frame(first, 1)), FrameAction::Drop(_)));
    assert!(matches!(assembly.accept(frame(second, 1)), FrameAction::Deliver(_)));
}

#[test]
fn a_missing_position_aborts_the_attempt() {
    let mut assembly = AnswerAssembly::new(STREAM);
    let attempt = assembly.begin_attempt(&route());
    assert_eq!(assembly.accept(frame(attempt, 1)), FrameAction::Abort);
}

#[test]
fn a_token_of_other_layers_aborts_the_attempt() {
    let mut assembly = AnswerAssembly::new(STREAM);
    let attempt = assembly.begin_attempt(&route());
    let wrong = TokenFrame { spans: vec![span(8, 16), span(0, 8)], ..frame(attempt, 0) };
    assert_eq!(assembly.accept(wrong), FrameAction::Abort);
}

#[test]
fn a_route_with_a_gap_an_overlap_or_a_missing_end_is_rejected() {
    let gap = draft(vec![stage("a", 0, 8), stage("b", 9, 16)]);
    assert!(matches!(StageRoute::try_from(gap), Err(RouteError::NonContiguous { stage: 1, .. })));
    let overlap = draft(vec![stage("a", 0, 8), stage("b", 7, 16)]);
    assert!(matches!(
        StageRoute::try_from(overlap),
        Err(RouteError::NonContiguous { stage: 1, .. })
    ));
    let short = draft(vec![stage("a", 0, 8)]);
    assert!(matches!(StageRoute::try_from(short), Err(RouteError::Incomplete { found: 8, .. })));
    assert!(StageRoute::try_from(draft(Vec::new())).is_err());
}
