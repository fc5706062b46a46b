//! Listed weights worked out ahead. A [`Problem`] says what servers can do, what is asked of them and
//! what it earns; [`solve`] says how much of each class to let in, where it goes and at which weights;
//! [`PlanStabilizer`] holds on to an answer until another gains more than its lines cost, [`Tables`] on to those of zones and classes; [`CapacityEstimator`] finds out what a
//! problem needs from what reports show. Free of I/O and clock; the same input gives the same answer,
//! to the bit, as all sums are of whole numbers.

mod answer;
mod flow;
mod groups;
mod lateness;
mod learn;
mod problem;
mod solve;
mod steady;
mod tables;
mod value;

pub use answer::{Answer, Objective, ShedReason, WEIGHT_STEPS};
pub use learn::{CapacityEstimate, CapacityEstimator, CapacityPrior, LoadSample};
pub use problem::{Class, Endpoint, Problem, ProblemError};
pub use solve::solve;
pub use steady::{ChangePrice, PlanStabilizer};
pub use tables::{Shares, TableScope, Tables};
pub use value::LoadDistribution;
