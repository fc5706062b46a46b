//! `show stat` and `show servers state`: what is known of endpoints.

use std::fmt::Write;

use lockcroft::{ControllerState, EndpointId, EndpointState, EndpointStatus};
use lockcroft_runtime_api::tables::{
    FORCED_DRAIN, FORCED_MAINT, ServerStateRow, StatRow, write_server_states, write_stat,
};

use crate::error::OperatorError;
use crate::fleet_controller::FleetController;

/// The backend that stands for all endpoints of the list.
const ALL_ENDPOINTS: &str = "servers";

impl FleetController {
    /// Counters as the guide's `show stat`: a row for each class and for each endpoint of a table.
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
            status: status_word(state).into(),
            weight: u64::from(self.weight_scale.units(weight)),
            total: counters.attempts,
            response_errors: counters.failed,
            mean_latency_ms: (counters.latency_sum_ms / succeeded as f64) as u64,
            total_latency_ms: Some(counters.latency_sum_ms as u64),
            ..StatRow::default()
        }
    }

    /// The state of endpoints in the guide's form, of one table or of all endpoints as `servers`; behind it, as
    /// comments, what that form has no place for.
    ///
    /// # Errors
    /// There is no such table.
    pub fn show_endpoints(&self, backend: Option<&str>) -> Result<String, OperatorError> {
        let ControllerState { endpoints, tables, .. } = self.controller.state();
        let is_wanted = |name: &str| backend.is_none_or(|wanted| wanted == name);
        let mut rows = Vec::new();
        if is_wanted(ALL_ENDPOINTS) {
            rows.extend(
                endpoints.iter().map(|(endpoint, state)| self.state_row(ALL_ENDPOINTS, *endpoint, state)),
            );
        }
        for (number, table) in tables.iter().enumerate() {
            let name = format!("t{number}");
            if !is_wanted(&name) {
                continue;
            }
            for (endpoint, weight) in &table.published {
                let row = self.state_row(&name, *endpoint, &endpoints[endpoint]);
                rows.push(ServerStateRow { weight: self.weight_scale.units(*weight), ..row });
            }
        }
        if rows.is_empty() && backend.is_some_and(|name| name != ALL_ENDPOINTS) {
            return Err(OperatorError::UnknownBackend);
        }
        let mut text = write_server_states(&rows);
        if is_wanted(ALL_ENDPOINTS) {
            for (endpoint, state) in endpoints {
                let _ = writeln!(text, "# {}", self.endpoint_comment(*endpoint, state));
            }
        }
        Ok(text)
    }

    fn state_row(&self, backend: &str, endpoint: EndpointId, state: &EndpointState) -> ServerStateRow {
        let address = self.endpoints.address(endpoint);
        let is_draining = state.record.status == EndpointStatus::Draining;
        let is_closed = state.record.status == EndpointStatus::Removed || state.ejected;
        let drain = if is_draining { FORCED_DRAIN } else { 0 };
        let maintenance = if is_closed { FORCED_MAINT } else { 0 };
        ServerStateRow {
            backend: backend.into(),
            endpoint: self.endpoints.name(endpoint).into(),
            address: address.map_or("-".into(), |address| address.ip().to_string()),
            port: address.map_or(0, |address| address.port()),
            is_running: state.is_up(),
            admin_state: drain | maintenance,
            weight: self.weight_scale.units(state.record.weight),
            health: state.health.value().unwrap_or(0),
        }
    }

    fn endpoint_comment(&self, endpoint: EndpointId, state: &EndpointState) -> String {
        let counter = state.health.value().map_or("unknown".into(), |counter| counter.to_string());
        let warming_up_for = state.warmed_up_at.saturating_sub(self.now);
        let outlier_for = state.outlier_until.saturating_sub(self.now);
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
            warming_up_for.as_secs_f64(),
            outlier_for.as_secs_f64(),
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

/// The guide's word for the status of a server.
fn status_word(state: &EndpointState) -> &'static str {
    match state.record.status {
        EndpointStatus::Draining => "DRAIN",
        EndpointStatus::Removed => "MAINT",
        EndpointStatus::Ready if !state.health.is_known() => "no check",
        EndpointStatus::Ready if state.is_up() => "UP",
        EndpointStatus::Ready => "DOWN",
    }
}
