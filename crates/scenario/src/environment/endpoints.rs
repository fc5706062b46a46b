//! Starts the endpoints of a scenario.

use std::collections::BTreeMap;
use std::io;

use lockcroft_testbed::{EndpointConfig, FakeEndpoint, TrafficRecorder};

use crate::endpoint_list_file::ListEntry;
use crate::rules::Limits;
use crate::scenario::{EndpointGroup, Scenario};

/// Running endpoints and their entries in the endpoint list, by name.
#[derive(Default)]
pub struct StartedEndpoints {
    pub endpoints: BTreeMap<String, FakeEndpoint>,
    pub entries: BTreeMap<String, ListEntry>,
}

/// Starts the endpoints of all groups in these zones.
///
/// # Errors
/// A socket can't be bound.
pub async fn start_endpoints(
    scenario: &Scenario,
    zones: &[String],
    limits: &Limits,
    recorder: &TrafficRecorder,
) -> io::Result<StartedEndpoints> {
    let mut started = StartedEndpoints::default();
    for zone in zones {
        for (index, group) in scenario.endpoints.iter().enumerate() {
            if !group.zones.is_empty() && !group.zones.contains(zone) {
                continue;
            }
            for number in 1..=group.per_zone {
                // The names of the first group's endpoints don't contain an index.
                let prefix = if index == 0 { String::new() } else { format!("{index}-") };
                let name = format!("{zone}-{prefix}{number}");
                let config = endpoint_config(&name, scenario, group, limits);
                let endpoint = FakeEndpoint::start(config, recorder.clone()).await?;
                let entry = ListEntry {
                    zone: zone.clone(),
                    machine_type: group.machine_type.clone(),
                    address: endpoint.address,
                    weight: group.weight,
                    state: "ready",
                    started: None,
                };
                started.entries.insert(name.clone(), entry);
                started.endpoints.insert(name, endpoint);
            }
        }
    }
    Ok(started)
}

fn endpoint_config(
    name: &str,
    scenario: &Scenario,
    group: &EndpointGroup,
    limits: &Limits,
) -> EndpointConfig {
    EndpointConfig {
        name: name.into(),
        cores: group.cores,
        speed: group.speed,
        max_queued: group.max_queued,
        rejection_work_s: group.rejection_work.as_secs_f64(),
        class_work_s: scenario
            .load
            .iter()
            .map(|load| (load.class.clone(), load.work.as_secs_f64()))
            .collect(),
        slow_start: limits.slow_start,
    }
}
