//! The runtime API in the manner of HAProxy's socket (its Management Guide, "Unix Socket commands"):
//! lines of commands go in, answers that end with an empty line come out. The codec and the sessions
//! are free of I/O; `serve` and `ask` put them on sockets.

mod address;
mod answers;
mod feed;
mod lines;
mod serve;
mod session;
pub mod sheets;
mod words;

pub use address::{Address, Listener, Stream, dial};
pub use answers::Answers;
pub use feed::{Feed, LINE_MOST, Overlong};
pub use lines::Lines;
pub use serve::{ANSWER_MOST, AskError, SESSIONS_MOST, ask, serve};
pub use session::{After, Answer, Desk, Entry, Level, Session};
pub use words::{Command, escaped, split};
