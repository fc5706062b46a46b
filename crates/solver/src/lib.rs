//! Plans endpoint weights and admission rates from capacities and demand. Has no I/O and reads no clock.
//!
//! A [`Problem`] states the capacity of the endpoints, and the demand and the value of each class. [`solve()`] computes a
//! maximum-gain flow and returns the admission rate of each class, the endpoints that do its work, and the weights.
//! [`PlanStabilizer`] keeps the current weights until a new plan gains more than its changes cost; [`TableStabilizer`]
//! keeps the fractions of a table until they change by more than a fluctuation of demand. [`CapacityEstimator`]
//! estimates the capacities from load reports. The same input always produces a bit-identical solution, as the flow
//! is computed in integers. `docs/solver.md` explains the objective.

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
