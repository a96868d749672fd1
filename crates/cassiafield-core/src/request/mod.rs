//! Types whose lifetime is a single request.

mod answer_assembly;
mod call_claim;
mod carry_note;
mod event_splitter;
mod give_up_reason;
mod id_spacing;
mod layer_span;
mod prompt_prefix;
mod refusal_cause;
mod request_fingerprint;
mod request_identity;
mod request_rate;
mod request_verdict;
mod retry_after;
mod stage_route;
mod stream_position;
mod stream_recovery;
mod stream_timeouts;
mod token_frame;

pub use self::{
    answer_assembly::{AnswerAssembly, DropReason, FrameAction},
    call_claim::{CallClaim, CallOutcome, ClaimEvent, ClaimRecord, ClaimState, ClaimStep},
    carry_note::{join_endpoints, parse_endpoints, CarryNote, CarryNoteError},
    event_splitter::{EventError, EventSplitter, StreamEvent},
    give_up_reason::GiveUpReason,
    layer_span::{LayerSpan, SpanError},
    prompt_prefix::PromptPrefix,
    refusal_cause::RefusalCause,
    request_fingerprint::{FingerprintSource, RequestFingerprint, RequestFingerprintError},
    request_identity::RequestIdentity,
    request_rate::{RequestRate, RequestRateError},
    request_verdict::RequestVerdict,
    retry_after::{RetryAfter, RetryAfterError},
    stage_route::{RouteDraft, RouteError, RouteStage, StageRoute},
    stream_position::StreamPosition,
    stream_recovery::{FailureSource, RecoveryStep, StreamRecovery},
    stream_timeouts::StreamTimeouts,
    token_frame::TokenFrame,
};
