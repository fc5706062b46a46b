//! The store in real directories, with each fault that it is meant for caused for real.

mod faults;
mod kills;
mod selection;
mod support;
