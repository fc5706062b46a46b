//! A plain proxy that follows published tables exactly. What it holds, how it chooses and when it
//! tries again stand in modules without I/O and clock; the sockets are in `io`.

mod budget;
mod choose;
mod desk;
mod files;
mod held;
mod io;
mod orders;
mod post;
mod tries;

pub use budget::Budget;
pub use choose::{Chooser, Draw, Way, Wheel};
pub use desk::BACKENDS_MOST;
pub use files::FromFiles;
pub use held::{Backend, Choice, Chosen, Held, Limits, Line, STANDING, Tables};
pub use io::{Proxy, serve};
pub use orders::{Orders, changes};
pub use post::{FilesTerms, ProxyPost, SCHEMA};
pub use tries::{Ending, may_try_again};
