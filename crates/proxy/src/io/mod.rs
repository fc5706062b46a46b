//! The proxy on its sockets and files. `server` starts everything, `worker` is what all tasks of a proxy
//! share; the others are its tasks and their parts, and don't know each other.

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
