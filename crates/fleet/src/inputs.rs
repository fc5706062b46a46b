//! Inputs beside those of the proxies' connections: the endpoint list, operators, health checks, plans, and the
//! folders of table files and of learned state.

use std::time::{Duration, SystemTime};

use lockcroft::{EndpointId, HealthCheckOutcome};
use lockcroft_config::EndpointListConfig;
use lockcroft_solver::Solution;
use lockcroft_table_store::WrittenSnapshot;
use tracing::{debug, info, warn};

use crate::endpoint_list::OperatorOverride;
use crate::error::PublishError;
use crate::fleet_controller::FleetController;
use crate::planner::Plan;
use crate::publication::AppliedReport;

impl FleetController {
    /// The endpoint list was read anew. The first one also brings back what was known before the start.
    pub fn update_endpoint_list(&mut self, now: Duration, wall_clock: SystemTime, list: EndpointListConfig) {
        self.now = now;
        let (version, endpoints) = (list.version, list.entries.len());
        info!(target: "lockcroft::input", wave = self.batch, version, endpoints, "listed");
        self.add_event(&format!("list at version {version}, {endpoints} servers"));
        self.endpoints.replace(now, wall_clock, list);
        self.forward_endpoint_list(now);
        if let Some(recovered) = self.recovered_state.take() {
            self.apply_recovered_state(now, recovered);
        }
    }

    fn forward_endpoint_list(&mut self, now: Duration) {
        let records = self.endpoints.records(now);
        self.controller.update_endpoints(now, true, self.endpoints.version, &records);
    }

    /// An operator changes the override of an endpoint of the list.
    pub fn override_endpoint(&mut self, endpoint: EndpointId, change: impl FnOnce(&mut OperatorOverride)) {
        self.endpoints.change_override(endpoint, change);
        let name = self.endpoints.name(endpoint).to_string();
        let operator_override = self.endpoints.operator_override(endpoint);
        info!(target: "lockcroft::input", wave = self.batch, endpoint = name, ?operator_override, "operator");
        self.add_event(&format!("operator: {name}: {operator_override}"));
        self.forward_endpoint_list(self.now);
    }

    /// How a health check ended, and how long it took.
    pub fn health_check_finished(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        outcome: HealthCheckOutcome,
        latency: Duration,
    ) {
        self.now = now;
        debug!(target: "lockcroft::input", wave = self.batch, endpoint = self.endpoints.name(endpoint), ?outcome,
            ms = latency.as_millis() as u64, "probed");
        if let (Some(planner), HealthCheckOutcome::Passed(Some(load))) = (&mut self.planner, outcome) {
            planner.record_load(endpoint, load);
        }
        self.controller.health_check_finished(now, endpoint, outcome, latency);
    }

    /// The answer to the task in flight; none if it was no sound problem. Weights that it changes are the list's
    /// from now on.
    pub fn plan_solved(&mut self, now: Duration, answer: Option<Solution>) {
        self.now = now;
        let attached = self.attached_total();
        let Some(planner) = &mut self.planner else { return };
        let Plan { weights, tables } = planner.take_answer(answer, attached, self.controller.state());
        for (class, fraction) in planner.planned_fractions().iter().enumerate() {
            self.controller.set_planned_admission(class, *fraction);
        }
        for (endpoint, steps) in &weights {
            // Never 0, so that requests have somewhere to go if all others fail.
            let weight = self.weight_scale.weight(f64::from((*steps).max(1)));
            self.endpoints.set_planned_weight(*endpoint, weight);
        }
        for (table, shares) in tables {
            self.add_event(&format!("plan: t{table} by {} servers", shares.len()));
            self.controller.set_planned_weights(table, shares);
        }
        if !weights.is_empty() {
            info!(target: "lockcroft::input", wave = self.batch, entries = weights.len(), "planned");
            self.add_event(&format!("plan: {} lines of the list", weights.len()));
            self.forward_endpoint_list(now);
        }
    }

    /// How the writing of the snapshot in flight ended.
    pub fn snapshot_written(&mut self, now: Duration, result: Result<WrittenSnapshot, PublishError>) {
        self.now = now;
        match self.files.publication_finished(now, result) {
            Ok(WrittenSnapshot { epoch, version, files, linked, bytes }) => {
                debug!(target: "lockcroft::update", wave = self.batch, epoch, version, files, linked, bytes, "written");
                self.add_event(&format!(
                    "files: e{epoch} g{version}, {files} written, {linked} linked, {bytes} bytes"
                ));
            }
            Err(error) => {
                warn!(target: "lockcroft::update", wave = self.batch, reason = error.to_string(), "not written");
                self.add_event(&format!("files: {error}"));
            }
        }
    }

    /// What a proxy that reads files reports of itself.
    pub fn snapshot_applied(&mut self, now: Duration, report: AppliedReport) {
        self.now = now;
        if let Some(text) = self.files.record_report(report) {
            warn!(target: "lockcroft::input", wave = self.batch, text, "refused");
            self.add_event(&format!("files: {text}"));
        }
    }
}
