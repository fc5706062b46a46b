//! The program as a process: files, sockets, signals, and short days with one fault each.

mod crossings;
mod days;
mod files;
mod help;
mod platform;
mod sockets;
mod stand;
