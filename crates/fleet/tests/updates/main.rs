//! What is sent to proxies and what they hold in the end, whatever fails at connections, disks and endpoints.

mod commands;
mod convergence;
mod simulation;
mod solver_plans;
mod state_recovery;
mod table_files;
