//! I/O of the proxy: sockets, files and tasks. `server` starts and stops the tasks, and `worker` holds the
//! state that they share. The other modules are the tasks and their parts; tasks don't depend on each other.

mod attempt;
mod blocking_pool;
mod bodies;
mod client_stream;
mod clients;
mod connection_pool;
mod control;
mod folder_watch;
mod forward;
mod guards;
mod headers;
mod latencies;
mod request_validator;
mod server;
mod table_files;
mod worker;

pub use server::{DRAIN_TIMEOUT, Proxy, serve};
