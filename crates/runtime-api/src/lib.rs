//! The runtime API in the manner of HAProxy's socket (its Management Guide, "Unix Socket commands"): lines of
//! commands go in, answers that end with an empty line come out. The codec ([`CommandReader`],
//! [`ResponseReader`], [`tables`]) and the [`Session`] are free of I/O; [`serve`] and [`request`] put them on
//! sockets.
#![warn(missing_docs)]

mod address;
mod client;
mod command_handler;
mod command_reader;
mod level;
mod line_buffer;
mod response_reader;
mod server;
mod session;
pub mod tables;
mod tokenizer;

pub use address::{Address, InvalidAddress, Listener, Stream, connect};
pub use client::{RequestError, request};
pub use command_handler::{CommandHandler, CommandResult, CommandSpec};
pub use command_reader::{CommandReader, LineTooLong, MAX_LINE_BYTES};
pub use level::{AccessLevel, UnknownLevel};
pub use line_buffer::LineBuffer;
pub use response_reader::ResponseReader;
pub use server::{MAX_RESPONSE_BYTES, MAX_SESSIONS, close_with_error, serve};
pub use session::{Session, SessionState};
pub use tokenizer::{Command, escape_word, parse_line};
