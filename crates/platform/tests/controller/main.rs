//! What goes out on streams for what comes in, in simulated time and without a socket.

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
