//! A runtime API modeled on HAProxy's (Management Guide, "Unix Socket commands"): a client sends lines of commands, and
//! each response ends with an empty line. The codec ([`CommandReader`], [`ResponseReader`], [`tables`]) and [`Session`]
//! perform no I/O; [`serve`] and [`request`] connect them to sockets.
#![warn(missing_docs)]

mod address;
mod byte_budget;
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
pub use byte_budget::{BudgetExceeded, ByteBudget, ByteReservation};
pub use client::{RequestError, request};
pub use command_handler::{CommandHandler, CommandResult, CommandSpec};
pub use command_reader::{CommandReader, LineTooLong, MAX_LINE_BYTES};
pub use level::{AccessLevel, UnknownLevel};
pub use line_buffer::LineBuffer;
pub use response_reader::ResponseReader;
pub use server::{
    MAX_RESPONSE_BYTES, MAX_SESSIONS, MAX_UNREAD_RESPONSE_BYTES, close_with_error, serve, write_response,
};
pub use session::{Session, SessionState};
pub use tokenizer::{Command, escape_word, parse_line};
