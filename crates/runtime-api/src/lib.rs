//! The runtime API in the manner of HAProxy's socket (its Management Guide, "Unix Socket commands"):
//! lines of commands go in, answers that end with an empty line come out. The codec and the sessions
//! are free of I/O; `serve` and `request` put them on sockets.

mod address;
mod command_reader;
mod line_buffer;
mod response_reader;
mod serve;
mod session;
pub mod tables;
mod tokenizer;

pub use address::{Address, Listener, Stream, dial};
pub use command_reader::{CommandReader, LineTooLong, MAX_LINE_BYTES};
pub use line_buffer::LineBuffer;
pub use response_reader::ResponseReader;
pub use serve::{MAX_RESPONSE_BYTES, MAX_SESSIONS, RequestError, request, serve};
pub use session::{CommandEntry, CommandHandler, CommandResult, Level, Session, SessionState};
pub use tokenizer::{Command, escaped, split};
