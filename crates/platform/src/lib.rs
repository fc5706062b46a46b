//! A pilot on the users' platform: streams, collectors, discovery and probes as one more way in and out of
//! the decisions. The core is free of I/O and clock: [`ControlPlane`] takes what arrives and gives out what is
//! to be done. Sockets, signals and the clock stand in [`io`].

mod codec;
mod config;
mod connection_admission;
mod controller;
pub mod io;
mod roster;
mod stream;

pub use codec::load;
pub use config::Config;
pub use controller::{ControlPlane, Effect};
pub use stream::ConnectionId;
