//! Tests that run the program as a process under many, silent, greedy or abusive clients: its memory stays within a
//! limit on the sum over all clients, and other clients are answered in time.

#[allow(dead_code, reason = "the tests of `daemon` use the rest")]
#[path = "../daemon/controller_fixture.rs"]
mod controller_fixture;
#[allow(dead_code, reason = "the tests of `daemon` use the rest")]
#[path = "../daemon/platform_controller.rs"]
mod platform_controller;
#[allow(dead_code, reason = "the tests of `daemon` use the rest")]
#[path = "../daemon/platform_testbed.rs"]
mod platform_testbed;

mod clients;
mod closing;
mod control;
mod platform;
mod process_memory;
mod proxy;
