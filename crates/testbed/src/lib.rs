//! Test doubles on loopback for scenarios and tests: fake endpoints and a load generator. They record their traffic in
//! a [`TrafficRecorder`].

#![warn(missing_docs)]

mod fake_endpoint;
mod headers;
mod load_generator;
mod slow_start;
mod traffic_event;
mod traffic_recorder;

pub use fake_endpoint::{EndpointConfig, FakeEndpoint, FaultMode};
pub use load_generator::{ClassLoad, LoadGenerator, generate_load};
pub use slow_start::SlowStart;
pub use traffic_event::{
    AnsweredCommand, AppliedTable, ClassTable, EndpointWeight, ListedEndpoint, TrafficEvent,
};
pub use traffic_recorder::{TrafficRecord, TrafficRecorder};
