//! The proxy on its sockets.

mod control;
mod forward;
mod guard;
mod pool;
mod running;

pub use running::{Proxy, serve};
