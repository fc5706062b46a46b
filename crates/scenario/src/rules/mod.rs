//! Checks the rules on a record of traffic. Each module checks one concern. [`fleet_history`] provides the endpoint
//! list and the tables at the time of a record.

mod availability;
mod choices;
mod draining;
mod execution;
mod fleet_history;
mod limits;
mod updates;
mod warming;
mod weight_fractions;

use lockcroft_testbed::{TrafficEvent, TrafficRecord};

use crate::check_result::CheckResult;

use self::availability::Availability;
use self::choices::check_choices;
use self::draining::Draining;
use self::execution::{check_retries, check_single_execution};
use self::fleet_history::FleetHistory;
pub use self::limits::Limits;
use self::updates::{check_message_rate, check_queued_commands};
use self::warming::check_warming_load;
use self::weight_fractions::check_weight_fractions;

/// Checks all rules on records in order of time, and returns one result for each rule.
#[must_use]
pub fn check_rules(records: &[TrafficRecord], limits: &Limits) -> Vec<CheckResult> {
    let mut fleet = FleetHistory::new(limits);
    let mut availability = Availability::new(limits);
    let mut draining = Draining::new(limits);
    for record in records {
        if matches!(record.event, TrafficEvent::ListPublished { .. }) {
            availability.evaluate_all(record.at, &fleet);
        }
        if let Some(proxy) = fleet.observe(record) {
            availability.evaluate(record.at, proxy, &fleet);
        }
        draining.observe(record, &fleet);
    }
    if let Some(last) = records.last() {
        availability.evaluate_all(last.at, &fleet);
    }
    vec![
        availability.finish(),
        check_single_execution(records, limits),
        draining.finish(),
        check_warming_load(records, limits),
        check_queued_commands(records, limits),
        check_message_rate(records, limits),
        check_choices(records, &fleet),
        check_retries(records),
        check_weight_fractions(records, &fleet, limits),
    ]
}
