//! The runtime API in the manner of HAProxy's socket (its Management Guide, "Unix Socket commands"):
//! lines of commands go in, answers that end with an empty line come out. The codec and the sessions
//! are free of I/O; `serve` and `request` put them on sockets.

mod address;
mod response_reader;
mod command_reader;
mod line_buffer;
mod serve;
mod session;
pub mod tables;
mod tokenizer;

pub use address::{Address, Listener, Stream, dial};
pub use response_reader::ResponseReader;
pub use command_reader::{CommandReader, MAX_LINE_BYTES, LineTooLong};
pub use line_buffer::LineBuffer;
pub use serve::{MAX_RESPONSE_BYTES, RequestError, MAX_SESSIONS, request, serve};
pub use session::{SessionState, CommandResult, CommandHandler, CommandEntry, Level, Session};
pub use tokenizer::{Command, escaped, split};
