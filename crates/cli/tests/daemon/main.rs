//! Tests that run the program as a process: files, sockets, signals, aliases of verbs, and short scenarios with injected
//! faults.

mod aliases;
mod controller_fixture;
mod discovery_races;
mod fault_scenarios;
mod files;
mod platform;
mod platform_controller;
mod platform_races;
mod platform_testbed;
mod signals;
mod sockets;
