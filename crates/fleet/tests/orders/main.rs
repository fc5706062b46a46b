//! What proxies are told, and what they hold in the end, in the troubles that streams have.

mod converge;
mod files;
mod memory;
mod plans;
mod stage;
mod troubles;
