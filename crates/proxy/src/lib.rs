//! What a proxy holds, how it chooses, and the orders of the runtime API that change it. There is no
//! I/O and no clock here: whoever has the sockets calls [`Held`] and carries out what it says.

mod choose;
mod desk;
mod held;
mod tries;

pub use choose::{Chooser, Draw, Way, Wheel};
pub use desk::BACKENDS_MOST;
pub use held::{Backend, Choice, Chosen, Held, Limits, Line, STANDING};
pub use tries::{Ending, may_try_again};
