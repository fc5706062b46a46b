//! A pilot on the users' platform: streams, collectors, discovery and probes as one more way in and out of
//! the decisions. The core is free of I/O and clock: [`Station`] takes what arrives and gives out what is
//! to be done. Sockets, signals and the clock stand in [`io`].

mod berth;
mod codec;
mod config;
mod door;
pub mod io;
mod roster;
mod station;

pub use berth::Link;
pub use codec::load;
pub use config::Config;
pub use station::{Effect, Station};
