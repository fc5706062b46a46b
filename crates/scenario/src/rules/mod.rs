//! The five rules, judged from the record of what passed. Each module checks one concern; those that ask for the list or
//! the tables of an instant get them from [`fleet_history`].

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
use self::choices::choices_by_table;
use self::draining::Draining;
use self::execution::{no_effect_twice, no_retry_after_execution};
use self::fleet_history::FleetHistory;
pub use self::limits::Limits;
use self::updates::{few_messages, short_queue};
use self::warming::warming_not_overloaded;
use self::weight_fractions::fractions_by_weight;

/// Checks all rules on a record, which is in the order of time.
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
        no_effect_twice(records, limits),
        draining.finish(),
        warming_not_overloaded(records, limits),
        short_queue(records, limits),
        few_messages(records, limits),
        choices_by_table(records, &fleet),
        no_retry_after_execution(records),
        fractions_by_weight(records, &fleet, limits),
    ]
}
