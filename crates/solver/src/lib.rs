//! Listed weights worked out ahead. A [`Problem`] says what servers can do, what is asked of them and
//! what it earns; [`solve`] says how much of each class to let in, where it goes and at which weights;
//! [`Keeper`] holds on to an answer until another gains more than its lines cost, [`Tables`] on to those of zones and classes; [`Learner`] finds out what a
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

pub use answer::{Answer, Dropped, Objective, WEIGHT_STEPS};
pub use learn::{Estimate, Learner, Look, Prior};
pub use problem::{Class, Fault, Problem, Server};
pub use solve::solve;
pub use steady::{Keeper, Price};
pub use tables::{Lane, Shares, Tables};
pub use value::Spread;
