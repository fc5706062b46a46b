//! Folders of generations, with the faults that they are meant for, each caused for real.

mod faults;
mod follow;
mod kills;
mod stage;
