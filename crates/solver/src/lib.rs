//! Plans weights ahead of time. Free of I/O and clock.
//!
//! A [`Problem`] states what endpoints can do, what is asked of them and what it is worth. [`solve`] returns how much of
//! each class to admit, where its work goes and the weights for that, as a flow of greatest gain. [`PlanStabilizer`] and
//! [`TableStabilizer`] keep the weights and the table fractions in force until another plan gains more than its changes cost.
//! [`CapacityEstimator`] estimates the capacities that a problem needs from load reports. The same input gives the same
//! answer to the bit, as the flow is computed in whole numbers. `docs/solver.md` has the objective and its reasons.

#![warn(missing_docs)]

mod capacity_estimator;
mod endpoint_group;
mod flow;
mod latency;
mod load_distribution;
mod plan_stabilizer;
mod problem;
mod queueing;
mod solution;
mod solve;
mod table_stabilizer;

pub use capacity_estimator::{CapacityEstimate, CapacityEstimator, CapacityPrior, LoadSample};
pub use flow::{FlowNetwork, max_gain_flow};
pub use load_distribution::LoadDistribution;
pub use plan_stabilizer::{ChangeCost, PlanStabilizer};
pub use problem::{Class, Endpoint, Problem, ProblemError};
pub use solution::{MAX_WEIGHT, Objective, PlannedWork, ShedReason, Solution};
pub use solve::solve;
pub use table_stabilizer::{TableScope, TableStabilizer, WeightFractions};
