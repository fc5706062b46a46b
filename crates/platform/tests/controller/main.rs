//! What goes out on streams for what comes in, in made-up time and without a socket.

mod bytes;
mod channel;
mod interleavings;
mod lists;
mod loads;
mod long;
mod orders;
mod pieces;
mod stage;
mod unjoined;
