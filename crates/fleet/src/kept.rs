//! The helm's dealings with two folders: generations of files, and what is kept across restarts.

use std::time::Duration;

use lockcroft::{EndpointRecord, EndpointStatus, RecoveredEndpoint, RecoveredSlowStart, Snapshot, TableId};
use lockcroft_state_store::RecoveredState;
use lockcroft_table_store::WrittenSnapshot;
use tracing::{debug, info, warn};

use crate::files::{AppliedReport, PublishError};
use crate::helm::{Effect, FleetController};
use crate::notes::StateRecorder;

/// How the folder of what is kept across restarts fares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateRecovery {
    pub entries: usize,
    pub bytes: usize,
    /// Of the snapshot in use.
    pub number: u64,
    /// How long the last flush took.
    pub flush: Duration,
    /// Why nothing is kept for now.
    pub trouble: Option<String>,
}

impl FleetController {
    /// How the writing of the generation that is out went.
    pub fn written(&mut self, now: Duration, done: Result<WrittenSnapshot, PublishError>) {
        self.now = now;
        match self.files.written(now, done) {
            Ok(WrittenSnapshot { epoch, version, files, linked, bytes }) => {
                debug!(target: "lockcroft::update", wave = self.wave, epoch, version, files, linked, bytes, "written");
                let text =
                    format!("files: e{epoch} g{version}, {files} written, {linked} linked, {bytes} bytes");
                self.events.add(now, self.wave, &text);
            }
            Err(why) => {
                warn!(target: "lockcroft::update", wave = self.wave, why, "not written");
                self.events.add(now, self.wave, &format!("files: {why}"));
            }
        }
    }

    /// What a proxy that reads files told.
    pub fn laid(&mut self, now: Duration, report: AppliedReport) {
        self.now = now;
        if let Some(text) = self.files.told(report) {
            warn!(target: "lockcroft::input", wave = self.wave, text, "refused");
            self.events.add(now, self.wave, &format!("files: {text}"));
        }
    }

    /// Takes over from before the start what is still good of it, and from now on gives out what is to be kept.
    pub fn remember(&mut self, recalled: RecoveredState) {
        self.notes = Some(StateRecorder::new(self.epoch));
        self.recalled = Some(recalled);
    }

    /// How what was to be kept fares.
    pub fn kept(&mut self, kept: StateRecovery) {
        self.kept = kept;
    }

    /// Behind the first list: servers that went while nobody looked are named, and nothing is made less careful.
    pub(crate) fn recall(&mut self, now: Duration, recalled: RecoveredState) {
        let (servers, levels) = (recalled.servers.len(), recalled.levels.len());
        for server in recalled.servers {
            let (Ok(zone), Ok(kind)) =
                (self.places.zone(&server.zone), self.places.machine_type(&server.kind))
            else {
                continue;
            };
            let number = self.list.met(&server.name);
            let state = if server.out { EndpointStatus::Removed } else { EndpointStatus::Ready };
            let listing = EndpointRecord {
                endpoint: number,
                zone,
                machine_type: kind,
                status: state,
                weight: 0.0,
                age: None,
            };
            let slow_start = server.warming.map(|(age, remaining)| RecoveredSlowStart { age, remaining });
            let recovered = RecoveredEndpoint {
                record: listing,
                weight_factor: server.relief,
                slow_start,
                outlier_for: server.doubted,
            };
            self.pilot.recover_endpoint(now, recovered);
        }
        for (class, table, level) in recalled.levels {
            if let Ok(class) = self.places.class(&class) {
                self.pilot.recover_admission(class, table as TableId, level);
            }
        }
        if let Some(planner) = &mut self.planner {
            planner.recall(recalled.sizes.into_iter().map(|(name, cores)| (self.list.met(&name), cores)));
        }
        if servers + levels > 0 {
            let text = format!("recalled: {servers} servers, {levels} levels");
            info!(target: "lockcroft::input", wave = self.wave, servers, levels, "recalled");
            self.events.add(now, self.wave, &text);
        }
    }

    pub(crate) fn take_notes(&mut self, now: Duration) {
        let Some(notes) = &mut self.notes else { return };
        let Snapshot { endpoints: servers, admissions: gates, .. } = self.pilot.snapshot();
        let mut entries = notes.slice(now, servers, gates, &self.list, &self.places);
        if let Some(planner) = &mut self.planner {
            entries.extend(notes.sizes(now, planner.sizes(now, servers), &self.list));
        }
        if !entries.is_empty() {
            self.effects.push_back(Effect::Remember(entries));
        }
    }
}
