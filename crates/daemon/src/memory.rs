//! The folder of what was learned: read once at the start, and written by a thread of its own.

use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant, SystemTime};

use lockcroft::Settings;
use lockcroft_config::DaemonConfig;
use lockcroft_fleet::StateStoreStatus;
use lockcroft_state_store::{
    AgeingRules, DirectoryStorage, Entry, LoadedState, RecoveredState, RecoveryError, Store, StoreIdentity,
    age,
};
use tracing::{info, warn};

use crate::{Event, Told, complain};

/// What was learned is on disk after so long.
const FLUSH_EVERY: Duration = Duration::from_millis(250);

/// The inbox of the thread that writes.
pub struct StateWriter(Sender<Vec<Entry>>);

/// Reads what there is, and begins to write. Without a memory that is sound and its own the pilot starts with none, and
/// leaves the folder alone.
pub fn open(post: &DaemonConfig, folder: &Path, told: Told) -> Option<(StateWriter, RecoveredState)> {
    let begun = Instant::now();
    let opened = DirectoryStorage::hold(folder).map_err(RecoveryError::from);
    let opened = opened.and_then(|disk| Store::open(disk, owner(post)));
    let (store, loaded) = match opened {
        Ok(opened) => opened,
        Err(trouble) => {
            complain(&format!(
                "started without memory, which is left as it is: {}: {trouble}",
                folder.display()
            ));
            return None;
        }
    };
    let LoadedState { state, remarks, from, bytes, .. } = loaded;
    remarks.iter().for_each(|remark| warn!(target: "lockcroft::state_store", "{remark}"));
    let wall =
        SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let recalled = age(&state, wall, &rules(&post.settings));
    info!(target: "lockcroft::state_store", entries = state.len(), from, bytes, servers = recalled.servers.len(),
        levels = recalled.levels.len(), ahead = recalled.ahead, us = begun.elapsed().as_micros() as u64, "recalled");
    let (sender, inbox) = channel();
    let work = move || keep(store, &inbox, &told);
    std::thread::Builder::new().name("memory".into()).spawn(work).ok()?;
    Some((StateWriter(sender), recalled))
}

/// Whose memory it is.
pub fn owner(post: &DaemonConfig) -> StoreIdentity {
    let names = [&post.names.zones, &post.names.machine_types, &post.names.classes];
    // A blank between the lists: none of the names has one.
    let names = names.into_iter().flat_map(|list| list.iter().map(String::as_str).chain([" "]));
    StoreIdentity::of(&post.name, names)
}

fn rules(settings: &Settings) -> AgeingRules {
    AgeingRules {
        report_period: settings.fleet.report_period.max(Duration::from_millis(100)),
        warm_within: settings.rules.slow_start_window,
    }
}

impl StateWriter {
    pub fn write(&self, entries: Vec<Entry>) {
        // The thread ends only with the pilot.
        let _ = self.0.send(entries);
    }
}

/// Entries go into the journal as they come, and are flushed a few times a second.
fn keep(mut store: Store<DirectoryStorage>, inbox: &Receiver<Vec<Entry>>, told: &Told) {
    let (mut due, mut trouble): (Option<Instant>, Option<String>) = (None, None);
    loop {
        let wait = due.map_or(Duration::MAX, |due| due.saturating_duration_since(Instant::now()));
        let done = match inbox.recv_timeout(wait.min(Duration::from_secs(3600))) {
            Ok(entries) => {
                due.get_or_insert(Instant::now() + FLUSH_EVERY);
                store.append(&entries)
            }
            Err(RecvTimeoutError::Timeout) => Ok(()),
            Err(RecvTimeoutError::Disconnected) => {
                let _ = store.flush();
                return;
            }
        };
        let flushing = due.is_some_and(|due| due <= Instant::now());
        let begun = Instant::now();
        let done = if flushing { done.and(store.flush()) } else { done };
        let wrong = done.err().map(|error| error.to_string());
        if wrong.is_some() && wrong != trouble {
            complain(&format!(
                "what is learned is not kept for now: {}",
                wrong.as_deref().unwrap_or_default()
            ));
        }
        if flushing {
            due = wrong.is_some().then(|| Instant::now() + FLUSH_EVERY);
            let kept = StateStoreStatus {
                entries: store.state().len(),
                bytes: store.bytes(),
                snapshot_number: store.number(),
                last_flush: begun.elapsed(),
                error: wrong.clone(),
            };
            if told.blocking_send(Event::StateSaved(kept)).is_err() {
                return;
            }
        }
        trouble = wrong;
    }
}
