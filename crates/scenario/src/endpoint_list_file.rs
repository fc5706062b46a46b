//! The endpoint list file that controllers read. Each change replaces the complete file under a new version.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use lockcroft_testbed::{ListedEndpoint, TrafficEvent, TrafficRecorder};

/// The time at which an endpoint's process started, by both clocks.
#[derive(Clone, Copy)]
pub struct StartTime {
    /// The time since the start of the scenario.
    pub scenario_time: Duration,
    pub wall_clock: SystemTime,
}

/// An endpoint in the list.
pub struct ListEntry {
    pub zone: String,
    pub machine_type: String,
    pub address: SocketAddr,
    pub weight: f64,
    /// The state: `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// The last restart; `None` if the initial process still runs.
    pub started: Option<StartTime>,
}

/// The endpoint list and its file.
pub struct EndpointListFile {
    path: PathBuf,
    pub entries: BTreeMap<String, ListEntry>,
    version: u64,
    recorder: TrafficRecorder,
}

impl EndpointListFile {
    /// Returns a list that is not yet written to its file.
    pub fn new(path: PathBuf, entries: BTreeMap<String, ListEntry>, recorder: TrafficRecorder) -> Self {
        EndpointListFile { path, entries, version: 0, recorder }
    }

    /// Changes the state of these endpoints. [`write`](Self::write) publishes the change.
    pub fn set_state(&mut self, endpoints: &[String], state: &'static str) {
        for name in endpoints {
            if let Some(entry) = self.entries.get_mut(name) {
                entry.state = state;
            }
        }
    }

    /// Sets the start time of an endpoint's process. [`write`](Self::write) publishes the change.
    pub fn set_started(&mut self, endpoint: &str, scenario_time: Duration, wall_clock: SystemTime) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.started = Some(StartTime { scenario_time, wall_clock });
        }
    }

    /// Replaces the file by the current list under the next version, and records the publication.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write(&mut self) -> io::Result<()> {
        let text = self.to_xml();
        self.version += 1;
        // The file is replaced by a rename, so that readers never see an incomplete list.
        let temporary = self.path.with_extension("new");
        std::fs::write(&temporary, text)?;
        std::fs::rename(&temporary, &self.path)?;
        let endpoints = self.entries.iter().map(|(name, entry)| ListedEndpoint {
            name: name.clone(),
            state: entry.state.to_string(),
            started: entry.started.map(|start| start.scenario_time),
        });
        self.recorder.record(TrafficEvent::ListPublished { endpoints: endpoints.collect() });
        Ok(())
    }

    fn to_xml(&self) -> String {
        let mut text = format!("<roster version=\"{}\">\n", self.version);
        for (name, entry) in &self.entries {
            let ListEntry { zone, machine_type, address, weight, state, started } = entry;
            let started = started
                .map(|start| format!(" started=\"{}\"", humantime::format_rfc3339_micros(start.wall_clock)));
            text += &format!(
                "  <server name=\"{name}\" zone=\"{zone}\" kind=\"{machine_type}\" address=\"{address}\" state=\"{state}\" weight=\"{weight}\"{}/>\n",
                started.unwrap_or_default()
            );
        }
        text + "</roster>\n"
    }
}
