//! The endpoint list as a file that controllers read: replaced as a whole, at a new version each time.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use lockcroft_testbed::{ListedEndpoint, TrafficEvent, TrafficRecorder};

/// When an endpoint's process started.
#[derive(Clone, Copy)]
pub struct StartTime {
    /// Since the start of the scenario.
    pub scenario_time: Duration,
    pub wall_clock: SystemTime,
}

/// An endpoint on the list.
pub struct ListEntry {
    pub zone: String,
    pub machine_type: String,
    pub address: SocketAddr,
    pub weight: f64,
    /// `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// The last start, if there was one since the beginning.
    pub started: Option<StartTime>,
}

/// The list and its file.
pub struct EndpointListFile {
    path: PathBuf,
    pub entries: BTreeMap<String, ListEntry>,
    version: u64,
    recorder: TrafficRecorder,
}

impl EndpointListFile {
    pub fn new(path: PathBuf, entries: BTreeMap<String, ListEntry>, recorder: TrafficRecorder) -> Self {
        EndpointListFile { path, entries, version: 0, recorder }
    }

    /// Changes the state of these endpoints; [`write`](Self::write) publishes it.
    pub fn set_state(&mut self, endpoints: &[String], state: &'static str) {
        for name in endpoints {
            if let Some(entry) = self.entries.get_mut(name) {
                entry.state = state;
            }
        }
    }

    /// Notes that an endpoint's process started; [`write`](Self::write) publishes it.
    pub fn set_started(&mut self, endpoint: &str, scenario_time: Duration, wall_clock: SystemTime) {
        if let Some(entry) = self.entries.get_mut(endpoint) {
            entry.started = Some(StartTime { scenario_time, wall_clock });
        }
    }

    /// Publishes the list.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write(&mut self) -> io::Result<()> {
        let text = self.to_xml();
        self.version += 1;
        // Readers must never see half a list.
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
