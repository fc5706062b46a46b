//! Inputs other than those of proxy connections: the endpoint list, operator overrides, health checks, solutions
//! of the solver, and results of writing table files.

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
use crate::publication::SnapshotReport;

impl FleetController {
    /// Replaces the endpoint list. The first list also applies the state that was recovered from before the start.
    pub fn update_endpoint_list(&mut self, now: Duration, wall_clock: SystemTime, list: EndpointListConfig) {
        self.now = now;
        let (version, endpoints) = (list.version, list.entries.len());
        info!(target: "lockcroft::input", wave = self.batch, version, endpoints, "updated the endpoint list");
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

    /// Changes the operator override of a listed endpoint.
    pub fn override_endpoint(&mut self, endpoint: EndpointId, change: impl FnOnce(&mut OperatorOverride)) {
        self.endpoints.change_override(endpoint, change);
        let name = self.endpoints.name(endpoint).to_string();
        let operator_override = self.endpoints.operator_override(endpoint);
        info!(target: "lockcroft::input", wave = self.batch, endpoint = name, ?operator_override,
            "changed an operator override");
        self.add_event(&format!("operator: {name}: {operator_override}"));
        self.forward_endpoint_list(self.now);
    }

    /// Records the outcome and the latency of a health check.
    pub fn health_check_finished(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        outcome: HealthCheckOutcome,
        latency: Duration,
    ) {
        self.now = now;
        debug!(target: "lockcroft::input", wave = self.batch, endpoint = self.endpoints.name(endpoint), ?outcome,
            ms = latency.as_millis() as u64, "health check finished");
        if let (Some(planner), HealthCheckOutcome::Passed(Some(load))) = (&mut self.planner, outcome) {
            planner.record_load(endpoint, load);
        }
        self.controller.health_check_finished(now, endpoint, outcome, latency);
    }

    /// Takes the solution of the task in flight; `None` if the problem was invalid. The weights that the plan
    /// changes replace the listed ones.
    pub fn plan_solved(&mut self, now: Duration, solution: Option<Solution>) {
        self.now = now;
        let attached = self.attached_total();
        let Some(planner) = &mut self.planner else { return };
        let Plan { weights, tables } = planner.take_solution(solution, attached, self.controller.state());
        for (class, fraction) in planner.planned_fractions().iter().enumerate() {
            self.controller.set_planned_admission(class, *fraction);
        }
        for (endpoint, units) in &weights {
            // At least 1, so that the endpoint can still take requests if all others fail.
            let weight = self.weight_scale.weight(f64::from((*units).max(1)));
            self.endpoints.set_planned_weight(*endpoint, weight);
        }
        for (table, fractions) in tables {
            self.add_event(&format!("plan: t{table}: weights of {} endpoints", fractions.len()));
            self.controller.set_planned_weights(table, fractions);
        }
        if !weights.is_empty() {
            info!(target: "lockcroft::input", wave = self.batch, entries = weights.len(), "applied a solver plan");
            self.add_event(&format!("plan: listed weights of {} endpoints", weights.len()));
            self.forward_endpoint_list(now);
        }
    }

    /// Records the result of writing the snapshot in flight.
    pub fn snapshot_written(&mut self, now: Duration, result: Result<WrittenSnapshot, PublishError>) {
        self.now = now;
        match self.files.publication_finished(now, result) {
            Ok(WrittenSnapshot { epoch, version, files, linked, bytes }) => {
                debug!(target: "lockcroft::update", wave = self.batch, epoch, version, files, linked, bytes,
                    "wrote a snapshot");
                self.add_event(&format!(
                    "files: e{epoch} g{version}, {files} written, {linked} linked, {bytes} bytes"
                ));
            }
            Err(error) => {
                warn!(target: "lockcroft::update", wave = self.batch, reason = error.to_string(),
                    "failed to write a snapshot");
                self.add_event(&format!("files: {error}"));
            }
        }
    }

    /// Records the report of a proxy that reads files.
    pub fn snapshot_reported(&mut self, now: Duration, report: SnapshotReport) {
        self.now = now;
        if let Some(text) = self.files.record_report(report) {
            warn!(target: "lockcroft::input", wave = self.batch, text, "a proxy rejected a snapshot");
            self.add_event(&format!("files: {text}"));
        }
    }
}
