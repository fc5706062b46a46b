//! What the pilot decides, as short printed traces.

mod design;
mod failures;
mod herds;
mod plans;
mod probes;
mod recorded;
mod stage;
mod unprobed;
