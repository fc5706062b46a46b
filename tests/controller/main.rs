//! Tests of the controller's decisions, which are compared as short printed traces.

mod health_checks;
mod mass_attachment;
mod message_pacing;
mod ordinary_path;
mod planned_weights;
mod recorded;
mod regressions;
mod test_fleet;
mod without_health_checks;
