//! Open-loop load generator, history checker and scaling measurements.
//!
//! # Quick start
//!
//! ```
//! use cassiafield_load::LineFit;
//!
//! let fit = LineFit::of(&[(1.0, 12.0), (2.0, 14.0), (4.0, 18.0)]).unwrap();
//! assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.intercept - 10.0).abs() < 1e-9);
//! ```
//!
//! # Types
//!
//! | type | purpose |
//! |---|---|
//! | [`LoadGenerator`] | sends requests at their scheduled times without waiting for answers |
//! | [`CallRecord`] | one request of a load history |
//! | [`HistoryCheck`] | checks a history against the delivery guarantees |
//! | [`EditMeter`] | measures the time until all hosts apply an edit |
//! | [`CoreScaling`] | measures the cost of decisions as the fleet grows |
//! | [`ProcessMeter`] | measures CPU time and memory of processes |

mod call_record;
mod core_scaling;
mod edit_meter;
mod history_check;
mod line_fit;
mod load_generator;
mod load_summary;
mod process_meter;

pub use self::{
    call_record::{CallKind, CallRecord},
    core_scaling::CoreScaling,
    edit_meter::EditMeter,
    history_check::HistoryCheck,
    line_fit::LineFit,
    load_generator::LoadGenerator,
    load_summary::LoadSummary,
    process_meter::{ProcessMeter, ProcessUsage},
};
