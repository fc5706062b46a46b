//! Plays a scripted day: a real pilot in a process of its own, stand-ins on loopback, troubles by
//! time. Judges the five rules from what passed on the sockets, never from the pilot's own word.

mod day;
mod folder;
mod meter;
mod pilot;
mod play;
mod proxies;
mod roster;
mod rules;
mod score;
mod seen;
mod shares;
mod stage;
mod ways;
mod wire;

pub use day::{FaultInjection, FaultKind, Scenario, TableSource};
pub use meter::ResourceUsage;
pub use pilot::ControllerProcess;
pub use play::{Report, Summary, play};
pub use proxies::ProxyRuntimes;
pub use rules::{CheckResult, Limits, judge};
pub use score::{After, Score, Zones, score};
pub use stage::{ProxyInstance, Stage, settings};
pub use ways::{SearchSpace, Variant, search};
pub use wire::{StallPoint, ThrottledLink};

/// The schema of days.
pub const SCHEMA: &str = include_str!("../day.xsd");
