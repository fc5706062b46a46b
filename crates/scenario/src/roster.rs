//! The list of servers as a file that pilots read: swapped whole, at a new version each time.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use lockcroft_testbed::{TrafficEvent, TrafficRecorder};

pub struct Line {
    pub zone: String,
    pub kind: String,
    pub address: SocketAddr,
    pub weight: f64,
    pub state: &'static str,
    /// The last start, on the day's clock and on the wall's.
    pub started: Option<(Duration, SystemTime)>,
}

pub struct RosterFile {
    pub path: PathBuf,
    pub lines: BTreeMap<String, Line>,
    version: u64,
    tap: TrafficRecorder,
}

impl RosterFile {
    pub fn new(path: PathBuf, lines: BTreeMap<String, Line>, tap: TrafficRecorder) -> Self {
        RosterFile { path, lines, version: 0, tap }
    }

    /// # Errors
    /// As the file system says.
    pub fn write(&mut self) -> io::Result<()> {
        let mut text = format!("<roster version=\"{}\">\n", self.version);
        for (name, line) in &self.lines {
            let started =
                line.started.map(|(_, at)| format!(" started=\"{}\"", humantime::format_rfc3339_micros(at)));
            text += &format!(
                "  <server name=\"{name}\" zone=\"{}\" kind=\"{}\" address=\"{}\" state=\"{}\" weight=\"{}\"{}/>\n",
                line.zone,
                line.kind,
                line.address,
                line.state,
                line.weight,
                started.unwrap_or_default()
            );
        }
        text += "</roster>\n";
        self.version += 1;
        let beside = self.path.with_extension("new");
        std::fs::write(&beside, text)?;
        std::fs::rename(&beside, &self.path)?;
        let told = self
            .lines
            .iter()
            .map(|(name, line)| (name.clone(), line.state.to_string(), line.started.map(|(at, _)| at)));
        self.tap.put(TrafficEvent::Listed { servers: told.collect() });
        Ok(())
    }
}
