//! Tests of the control plane in simulated time and without sockets.

mod channel;
mod endpoint_lists;
mod framing;
mod harness;
mod interleavings;
mod load_reports;
mod long_tables;
mod recorded_bytes;
mod sessions;
mod updates;
