//! How fast streams' events come, by the endpoints and links that they share.

mod exposure_cost;
mod on_time_plan;
mod pace_model;
mod path_part;

pub use self::{
    exposure_cost::{ExposedStage, ExposureCost},
    on_time_plan::OnTimePlan,
    pace_model::{PaceModel, PacedStream},
    path_part::{PathPart, PlannedPart},
};
