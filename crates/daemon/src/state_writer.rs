//! The store of learned state: read once at the start, and written by a thread of its own.

use std::io;
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant, SystemTime};

use lockcroft::Settings;
use lockcroft_config::DaemonConfig;
use lockcroft_fleet::StateStoreStatus;
use lockcroft_state_store::{
    DirectoryStorage, Entry, LoadedState, RecoveredState, RecoveryError, RecoverySettings, Store,
    StoreIdentity, recover_state,
};
use tracing::{info, warn};

use crate::event::{Event, EventSender};
use crate::warn_operators;
use crate::worker_thread::WorkerThread;

/// What was learned is on disk after so long.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// The longest wait of a thread that has nothing to flush.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(3600);
/// The shortest report period that state ages by, whatever the settings state.
const MIN_REPORT_PERIOD: Duration = Duration::from_millis(100);

/// The thread that writes.
pub struct StateWriter(WorkerThread<Vec<Entry>>);

/// A store that is being written, and what it held.
pub struct OpenedState {
    pub writer: StateWriter,
    pub recovered: RecoveredState,
}

impl StateWriter {
    /// Reads what there is, and begins to write. Without a store that is sound and its own the controller starts with
    /// nothing recovered, and leaves the folder alone.
    pub fn open(config: &DaemonConfig, directory: &Path, events: EventSender) -> Option<OpenedState> {
        let started = Instant::now();
        let opened = DirectoryStorage::open_exclusive(directory)
            .map_err(RecoveryError::from)
            .and_then(|storage| Store::open(storage, store_identity(config)));
        let (store, loaded) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                let directory = directory.display();
                warn_operators(&format!(
                    "started without memory, which is left as it is: {directory}: {error}"
                ));
                return None;
            }
        };
        let recovered = recover(loaded, &config.settings, started);
        let worker = WriterThread { store, events, flush_due: None, last_error: None };
        let thread = WorkerThread::spawn("memory", move |inbox| worker.run(inbox)).ok()?;
        Some(OpenedState { writer: StateWriter(thread), recovered })
    }

    /// Hands entries to the thread.
    pub fn write(&self, entries: Vec<Entry>) {
        self.0.send(entries);
    }

    /// Takes no more entries; those that were handed over are flushed.
    pub fn close(&mut self) {
        self.0.close();
    }

    /// Whether all is flushed.
    pub fn has_ended(&self) -> bool {
        self.0.has_ended()
    }
}

fn recover(loaded: LoadedState, settings: &Settings, started: Instant) -> RecoveredState {
    let LoadedState { state, warnings: remarks, snapshot_number: from, bytes, .. } = loaded;
    for remark in remarks {
        warn!(target: "lockcroft::state_store", "{remark}");
    }
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let recovered = recover_state(&state, now.as_millis() as u64, &ageing_rules(settings));
    // These field names stand in the page on the state store.
    info!(target: "lockcroft::state_store", entries = state.len(), from, bytes, servers = recovered.endpoints.len(),
        levels = recovered.admission_rates.len(), ahead = recovered.future_entries, us = started.elapsed().as_micros() as u64, "recovered state");
    recovered
}

/// Whose store it is: state of another fleet means nothing here.
fn store_identity(config: &DaemonConfig) -> StoreIdentity {
    let lists = [&config.names.zones, &config.names.machine_types, &config.names.classes];
    // A blank stands between the lists, since none of the names has one.
    let names = lists.into_iter().flat_map(|list| list.iter().map(String::as_str).chain([" "]));
    StoreIdentity::from_names(&config.name, names)
}

fn ageing_rules(settings: &Settings) -> RecoverySettings {
    RecoverySettings {
        report_period: settings.fleet.report_period.max(MIN_REPORT_PERIOD),
        slow_start_window: settings.rules.slow_start_window,
    }
}

/// Entries go into the journal as they come, and are flushed a few times a second.
struct WriterThread {
    store: Store<DirectoryStorage>,
    events: EventSender,
    flush_due: Option<Instant>,
    /// What went wrong last, so that it is reported once.
    last_error: Option<String>,
}

impl WriterThread {
    fn run(mut self, inbox: &Receiver<Vec<Entry>>) {
        loop {
            let appended = match inbox.recv_timeout(self.wait()) {
                Ok(entries) => {
                    self.flush_due.get_or_insert(Instant::now() + FLUSH_INTERVAL);
                    self.store.append(&entries)
                }
                Err(RecvTimeoutError::Timeout) => Ok(()),
                Err(RecvTimeoutError::Disconnected) => {
                    let _ = self.store.flush();
                    return;
                }
            };
            self.flush_if_due(appended);
        }
    }

    fn wait(&self) -> Duration {
        let wait = self.flush_due.map(|due| due.saturating_duration_since(Instant::now()));
        wait.map_or(MAX_IDLE_WAIT, |wait| wait.min(MAX_IDLE_WAIT))
    }

    fn flush_if_due(&mut self, appended: io::Result<()>) {
        let is_due = self.flush_due.is_some_and(|due| due <= Instant::now());
        let started = Instant::now();
        let result = if is_due { appended.and(self.store.flush()) } else { appended };
        let error = result.err().map(|error| error.to_string());
        self.warn_of_new_error(error.as_deref());
        self.last_error = error;
        if !is_due {
            return;
        }
        // What failed is tried again; it stays in the store until then.
        self.flush_due = self.last_error.is_some().then(|| Instant::now() + FLUSH_INTERVAL);
        // At the end of the daemon nobody takes it any more.
        let _ = self.events.blocking_send(Event::StateSaved(self.status(started.elapsed())));
    }

    fn warn_of_new_error(&self, error: Option<&str>) {
        let Some(text) = error else { return };
        if self.last_error.as_deref() != error {
            warn_operators(&format!("what is learned is not kept for now: {text}"));
        }
    }

    fn status(&self, last_flush: Duration) -> StateStoreStatus {
        StateStoreStatus {
            entries: self.store.state().len(),
            bytes: self.store.bytes(),
            snapshot_number: self.store.snapshot_number(),
            last_flush,
            error: self.last_error.clone(),
        }
    }
}
