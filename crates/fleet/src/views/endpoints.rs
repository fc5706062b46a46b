//! `show stat` and `show servers state`: counters and state of endpoints.

use std::fmt::Write;

use lockcroft::{ControllerState, EndpointId, EndpointState, EndpointStatus};
use lockcroft_runtime_api::tables::{
    FORCED_DRAIN, FORCED_MAINT, StatRow, StateRow, write_stat, write_states,
};

use crate::error::OperatorError;
use crate::fleet_controller::FleetController;

/// The name of the backend that contains all listed endpoints.
const ALL_ENDPOINTS: &str = "servers";

impl FleetController {
    /// Returns counters in the format of `show stat`: a row for each class, and for each endpoint of each table.
    #[must_use]
    pub fn show_stat(&self) -> String {
        let ControllerState { endpoints, tables, .. } = self.controller.state();
        let classes = self.names.classes.iter().zip(&self.request_counts);
        let mut rows: Vec<StatRow> = classes.map(|(class, requests)| class_row(class, *requests)).collect();
        for (number, table) in tables.iter().enumerate() {
            for (endpoint, weight) in &table.published {
                rows.push(self.endpoint_row(number, *endpoint, *weight, &endpoints[endpoint]));
            }
        }
        write_stat(&rows)
    }

    fn endpoint_row(
        &self,
        table: usize,
        endpoint: EndpointId,
        weight: f64,
        state: &EndpointState,
    ) -> StatRow {
        let counters = self.endpoint_counters.get(&endpoint).copied().unwrap_or_default();
        let succeeded = (counters.attempts - counters.failed).max(1);
        StatRow {
            name: format!("t{table}"),
            endpoint: self.endpoints.name(endpoint).into(),
            status: status_text(state).into(),
            weight: u64::from(self.weight_scale.units(weight)),
            total: counters.attempts,
            response_errors: counters.failed,
            mean_latency_ms: (counters.latency_sum_ms / succeeded as f64) as u64,
            total_latency_ms: Some(counters.latency_sum_ms as u64),
            ..StatRow::default()
        }
    }

    /// Returns the state of endpoints in the format of `show servers state`, for one table, for all endpoints as the
    /// backend `servers`, or for all of these if `backend` is `None`. State that the format has no columns for
    /// follows in comment lines.
    ///
    /// # Errors
    /// Returns an error if `backend` is neither `servers` nor a table with entries.
    pub fn show_endpoints(&self, backend: Option<&str>) -> Result<String, OperatorError> {
        let ControllerState { endpoints, tables, .. } = self.controller.state();
        let is_selected = |name: &str| backend.is_none_or(|selected| selected == name);
        let mut rows = Vec::new();
        if is_selected(ALL_ENDPOINTS) {
            rows.extend(
                endpoints.iter().map(|(endpoint, state)| self.state_row(ALL_ENDPOINTS, *endpoint, state)),
            );
        }
        for (number, table) in tables.iter().enumerate() {
            let name = format!("t{number}");
            if !is_selected(&name) {
                continue;
            }
            for (endpoint, weight) in &table.published {
                let row = self.state_row(&name, *endpoint, &endpoints[endpoint]);
                rows.push(StateRow { weight: self.weight_scale.units(*weight), ..row });
            }
        }
        if rows.is_empty() && backend.is_some_and(|name| name != ALL_ENDPOINTS) {
            return Err(OperatorError::UnknownBackend);
        }
        let mut text = write_states(&rows);
        if is_selected(ALL_ENDPOINTS) {
            for (endpoint, state) in endpoints {
                let _ = writeln!(text, "# {}", self.endpoint_comment(*endpoint, state));
            }
        }
        Ok(text)
    }

    fn state_row(&self, backend: &str, endpoint: EndpointId, state: &EndpointState) -> StateRow {
        let address = self.endpoints.address(endpoint);
        let is_draining = state.record.status == EndpointStatus::Draining;
        let in_maintenance = state.record.status == EndpointStatus::Removed || state.ejected;
        let drain = if is_draining { FORCED_DRAIN } else { 0 };
        let maintenance = if in_maintenance { FORCED_MAINT } else { 0 };
        StateRow {
            backend: backend.into(),
            endpoint: self.endpoints.name(endpoint).into(),
            address: address.map_or("-".into(), |address| address.ip().to_string()),
            port: address.map_or(0, |address| address.port()),
            running: state.is_up(),
            admin_state: drain | maintenance,
            weight: self.weight_scale.units(state.record.weight),
            health: state.health.value().unwrap_or(0),
        }
    }

    fn endpoint_comment(&self, endpoint: EndpointId, state: &EndpointState) -> String {
        let counter = state.health.value().map_or("unknown".into(), |counter| counter.to_string());
        let slow_start_remaining = state.warmed_up_at.saturating_sub(self.now);
        let outlier_remaining = state.outlier_until.saturating_sub(self.now);
        let listed = match state.record.status {
            EndpointStatus::Ready => "ready",
            EndpointStatus::Draining => "draining",
            EndpointStatus::Removed => "gone",
        };
        let load = state.load.map_or("-".into(), |load| format!("{load:.2}"));
        format!(
            "{}: counter={counter} listed={listed} weight={} relief={:.2} part={} cold_for={:.1}s doubted_for={:.1}s \
             withdrawn={} load={load}",
            self.endpoints.name(endpoint),
            state.record.weight,
            state.weight_factor,
            state.subset,
            slow_start_remaining.as_secs_f64(),
            outlier_remaining.as_secs_f64(),
            state.ejected,
        )
    }
}

fn class_row(class: &str, requests: u64) -> StatRow {
    StatRow {
        name: class.into(),
        endpoint: "FRONTEND".into(),
        status: "OPEN".into(),
        total: requests,
        ..StatRow::default()
    }
}

/// Returns the status of a server as HAProxy names it.
fn status_text(state: &EndpointState) -> &'static str {
    match state.record.status {
        EndpointStatus::Draining => "DRAIN",
        EndpointStatus::Removed => "MAINT",
        EndpointStatus::Ready if !state.health.is_known() => "no check",
        EndpointStatus::Ready if state.is_up() => "UP",
        EndpointStatus::Ready => "DOWN",
    }
}
