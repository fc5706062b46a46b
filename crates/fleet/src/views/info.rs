//! `show info` and `show memory`: lines of the form `Name: value`.

use lockcroft::ControllerState;

use crate::file_distribution::FileDistribution;
use crate::fleet_controller::FleetController;
use crate::state_store_status::StateStoreStatus;

/// The name and the value of a line.
type InfoLine = (&'static str, String);

impl FleetController {
    /// Returns figures of the controller in the format of `show info`.
    #[must_use]
    pub fn show_info(&self) -> String {
        let mut lines = self.identity_lines();
        lines.extend(self.fleet_lines());
        lines.extend(self.update_lines());
        if self.files.has_readers() {
            lines.extend(self.snapshot_lines());
        }
        write_lines(&lines)
    }

    fn identity_lines(&self) -> Vec<InfoLine> {
        vec![
            ("Name", "lockcroft".into()),
            ("Version", env!("CARGO_PKG_VERSION").into()),
            ("Pilot", self.name.clone()),
            ("Pid", std::process::id().to_string()),
            ("Uptime_sec", self.now.as_secs().to_string()),
        ]
    }

    fn fleet_lines(&self) -> Vec<InfoLine> {
        let ControllerState { endpoints, tables, .. } = self.controller.state();
        let up = endpoints.values().filter(|state| state.is_up()).count();
        let unreleased = tables.iter().filter(|table| !table.released).count();
        vec![
            ("Servers", endpoints.len().to_string()),
            ("ServersUp", up.to_string()),
            ("ListVersion", self.endpoints.version.to_string()),
            ("Proxies", self.sessions.len().to_string()),
            ("ProxiesJoined", self.attached_total().to_string()),
            ("Tables", tables.len().to_string()),
            ("TablesHeld", unreleased.to_string()),
        ]
    }

    fn update_lines(&self) -> Vec<InfoLine> {
        let latency = &self.acknowledgement_latency;
        vec![
            ("LinesWaiting", self.queued_entries().to_string()),
            ("LinesWaitingMost", self.totals.peak_queued_entries.to_string()),
            ("LinesLimit", self.max_queued_entries.to_string()),
            ("Decisions", self.totals.actions.to_string()),
            ("Messages", self.totals.messages.to_string()),
            ("Lines", self.totals.entries.to_string()),
            ("Probes", self.totals.health_checks.to_string()),
            ("OrderMsP50", milliseconds(latency.value_at_quantile(0.5))),
            ("OrderMsP99", milliseconds(latency.value_at_quantile(0.99))),
            ("OrderMsMost", milliseconds(latency.max())),
            ("Wave", self.batch.to_string()),
        ]
    }

    fn snapshot_lines(&self) -> Vec<InfoLine> {
        let FileDistribution { last_snapshot, fenced_by, last_error, totals, apply_latency, .. } =
            &self.files;
        let (epoch, version) = last_snapshot.map_or((0, 0), |last| (last.epoch, last.version));
        vec![
            ("FilesEpoch", epoch.to_string()),
            ("FilesVersion", version.to_string()),
            ("FilesGenerations", totals.snapshots.to_string()),
            ("FilesFailures", totals.failures.to_string()),
            ("FilesWritten", totals.files.to_string()),
            ("FilesBytes", totals.bytes.to_string()),
            ("FilesFencedBy", fenced_by.map_or("-".into(), |epoch| epoch.to_string())),
            ("FilesTrouble", last_error.clone().unwrap_or_else(|| "-".into())),
            ("LaidMsP50", milliseconds(apply_latency.value_at_quantile(0.5))),
            ("LaidMsP99", milliseconds(apply_latency.value_at_quantile(0.99))),
            ("LaidMsMost", milliseconds(apply_latency.max())),
        ]
    }

    /// Returns the status of the store of learned state, for `show memory`.
    #[must_use]
    pub fn show_state_store(&self) -> String {
        let Some(recorder) = &self.recorder else { return "No memory is set.\n".into() };
        let StateStoreStatus { entries, bytes, snapshot_number, last_flush, error } =
            &self.state_store_status;
        write_lines(&[
            ("Entries", entries.to_string()),
            ("Bytes", bytes.to_string()),
            ("Snapshot", snapshot_number.to_string()),
            ("Told", recorder.recorded_entries.to_string()),
            ("FlushMs", format!("{:.1}", last_flush.as_secs_f64() * 1e3)),
            ("Trouble", error.clone().unwrap_or_else(|| "-".into())),
        ])
    }
}

fn milliseconds(us: u64) -> String {
    format!("{:.1}", us as f64 / 1e3)
}

fn write_lines(lines: &[InfoLine]) -> String {
    lines.iter().fold(String::new(), |text, (name, value)| text + name + ": " + value + "\n")
}
