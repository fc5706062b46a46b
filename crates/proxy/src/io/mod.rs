//! The proxy on its sockets.

mod control;
mod files;
mod forward;
mod guard;
mod pool;
mod running;
mod watch;
mod work;

pub use running::{Proxy, serve};
