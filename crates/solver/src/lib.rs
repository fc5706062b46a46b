//! Listed weights worked out ahead. A [`Problem`] says what servers can do, what is asked of them and
//! what it earns; [`solve`] says how much of each class to let in, where it goes and at which weights;
//! [`Keeper`] holds on to an answer until another gains more than its lines cost; [`Learner`] finds out what a
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
mod value;

pub use answer::{Answer, Dropped, Objective, WEIGHT_STEPS};
pub use learn::{Estimate, Learner, Look};
pub use problem::{Class, Fault, Problem, Server};
pub use solve::solve;
pub use steady::{Keeper, Price};
pub use value::Spread;
