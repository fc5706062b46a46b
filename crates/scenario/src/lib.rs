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

pub use day::{Day, Front, Trouble, TroubleKind};
pub use meter::Load;
pub use pilot::PilotProcess;
pub use play::{Report, Summary, play};
pub use proxies::Hosts;
pub use rules::{Limits, Verdict, judge};
pub use score::{After, Score, Zones, score};
pub use stage::{Relay, Stage, settings};
pub use ways::{Tries, Variant, search};
pub use wire::{Stall, Wire};

/// The schema of days.
pub const SCHEMA: &str = include_str!("../day.xsd");
