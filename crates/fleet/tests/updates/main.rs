//! Updates of proxies in simulated time: the commands and snapshots that they receive, and their resulting state,
//! with failures of connections, disks and endpoints.

mod commands;
mod convergence;
mod simulation;
mod solver_plans;
mod state_recovery;
mod table_files;
