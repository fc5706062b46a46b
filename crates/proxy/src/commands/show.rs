//! Commands that show the proxy's state and counters.

use lockcroft_runtime_api::tables::{
    FORCED_DRAIN, FORCED_MAINT, ServerStateRow, StatRow, write_server_states, write_stat,
};

use super::error::{CommandError, CommandOutput};
use crate::routing::{ClassCounters, RoutingState, TableEntry};

impl RoutingState {
    pub(super) fn show_servers_state(&self, backend: Option<&str>) -> CommandOutput {
        if backend.is_some_and(|name| !self.backends.contains_key(name)) {
            return Err(CommandError::CannotFindBackend);
        }
        let selected = self.backends.iter().filter(|(name, _)| backend.is_none_or(|wanted| wanted == *name));
        let rows: Vec<ServerStateRow> = selected
            .flat_map(|(name, backend)| backend.entries().iter().map(|entry| state_row(name, entry)))
            .collect();
        Ok(write_server_states(&rows))
    }

    pub(super) fn show_stat(&self) -> String {
        let class_counters = self.class_counters.iter().map(|(class, counters)| class_row(class, counters));
        let entries = self
            .backends
            .iter()
            .flat_map(|(name, backend)| backend.entries().iter().map(|entry| entry_row(name, entry)));
        write_stat(&class_counters.chain(entries).collect::<Vec<_>>())
    }

    pub(super) fn show_info(&self) -> String {
        let requests: u64 = self.class_counters.values().map(|counters| counters.requests).sum();
        format!(
            "Name: lockcroft\nVersion: {}\nnode: {}\nCumReq: {requests}\nCurrQueue: {}\n",
            env!("CARGO_PKG_VERSION"),
            self.name,
            self.queued_requests.get()
        )
    }

    pub(super) fn show_backends(&self) -> String {
        let mut text = "# name version lines\n".to_string();
        for (name, backend) in &self.backends {
            text += &format!("{name} {} {}\n", backend.version, backend.entries().len());
        }
        text
    }
}

fn state_row(backend: &str, entry: &TableEntry) -> ServerStateRow {
    let maintenance = if entry.in_maintenance { FORCED_MAINT } else { 0 };
    let drain = if entry.draining { FORCED_DRAIN } else { 0 };
    ServerStateRow {
        backend: backend.to_string(),
        endpoint: entry.name.to_string(),
        address: entry.address.ip().to_string(),
        port: entry.address.port(),
        is_running: !entry.in_maintenance,
        admin_state: maintenance | drain,
        weight: entry.weight,
        health: 0,
    }
}

fn class_row(class: &str, counters: &ClassCounters) -> StatRow {
    StatRow {
        name: class.to_string(),
        endpoint: "FRONTEND".into(),
        status: "OPEN".into(),
        total: counters.requests,
        shed: counters.shed,
        ..StatRow::default()
    }
}

fn entry_row(backend: &str, entry: &TableEntry) -> StatRow {
    let status = match (entry.in_maintenance, entry.draining) {
        (true, _) => "MAINT",
        (false, true) => "DRAIN",
        (false, false) => "no check",
    };
    StatRow {
        name: backend.to_string(),
        endpoint: entry.name.to_string(),
        status: status.into(),
        weight: u64::from(entry.weight),
        in_flight: Some(entry.in_flight() as u64),
        total: entry.attempts,
        abandoned: Some(entry.abandoned()),
        connect_errors: entry.connect_errors,
        response_errors: entry.response_errors,
        responses_5xx: entry.responses_5xx,
        mean_latency_ms: entry.mean_latency_ms as u64,
        total_latency_ms: Some(entry.total_latency_ms as u64),
        ..StatRow::default()
    }
}
