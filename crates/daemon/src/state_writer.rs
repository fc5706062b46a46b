//! The store of learned state, which is recovered once at startup and written by a separate thread.

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

/// The time after which an appended entry is flushed to disk.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// The longest wait of the thread while nothing has to be flushed.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(3600);
/// The lower bound for the report period by which persisted state ages.
const MIN_REPORT_PERIOD: Duration = Duration::from_millis(100);

/// The thread that writes learned state.
pub struct StateWriter(WorkerThread<Vec<Entry>>);

/// An opened store: its writer and the state that was recovered from it.
pub struct OpenedState {
    pub writer: StateWriter,
    pub recovered: RecoveredState,
}

impl StateWriter {
    /// Recovers the persisted state and starts the thread that writes to the store. Returns `None` if the store is
    /// locked, can't be read, or belongs to another controller or fleet: the controller then starts without persisted
    /// state and leaves the directory unchanged. Also returns `None` if the thread could not be spawned.
    pub fn open(config: &DaemonConfig, directory: &Path, events: EventSender) -> Option<OpenedState> {
        let started = Instant::now();
        let opened = DirectoryStorage::open_exclusive(directory)
            .map_err(RecoveryError::from)
            .and_then(|storage| Store::open(storage, store_identity(config)));
        let (store, loaded) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                let directory = directory.display();
                let effect = "starting without persisted state and leaving the directory unchanged";
                warn_operators(&format!("could not open the state store, {effect}: {directory}: {error}"));
                return None;
            }
        };
        let recovered = recover(loaded, &config.settings, started);
        let worker = WriterThread { store, events, flush_due: None, last_error: None };
        let thread = WorkerThread::spawn("memory", move |batches| worker.run(batches)).ok()?;
        Some(OpenedState { writer: StateWriter(thread), recovered })
    }

    /// Queues entries to be written.
    pub fn write(&self, entries: Vec<Entry>) {
        self.0.send(entries);
    }

    /// Accepts no more entries. Queued ones are still flushed.
    pub fn close(&mut self) {
        self.0.close();
    }

    /// Returns true if the thread has ended: it was closed, and all queued entries are flushed.
    pub fn has_ended(&self) -> bool {
        self.0.has_ended()
    }
}

fn recover(loaded: LoadedState, settings: &Settings, started: Instant) -> RecoveredState {
    let LoadedState { state, warnings, snapshot_number, bytes, .. } = loaded;
    for warning in warnings {
        warn!(target: "lockcroft::state_store", "{warning}");
    }
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let recovered = recover_state(&state, now.as_millis() as u64, &recovery_settings(settings));
    // The names of these fields are documented for operators.
    info!(target: "lockcroft::state_store", entries = state.len(), from = snapshot_number, bytes, servers = recovered.endpoints.len(),
        levels = recovered.admission_rates.len(), ahead = recovered.future_entries, us = started.elapsed().as_micros() as u64, "recovered state");
    recovered
}

/// Returns the identity of the controller and its fleet, by which state of another fleet is refused.
fn store_identity(config: &DaemonConfig) -> StoreIdentity {
    let name_lists = [&config.names.zones, &config.names.machine_types, &config.names.classes];
    // A space separates the lists, because no name contains one.
    let names = name_lists.into_iter().flat_map(|list| list.iter().map(String::as_str).chain([" "]));
    StoreIdentity::from_names(&config.name, names)
}

fn recovery_settings(settings: &Settings) -> RecoverySettings {
    RecoverySettings {
        report_period: settings.fleet.report_period.max(MIN_REPORT_PERIOD),
        slow_start_window: settings.rules.slow_start_window,
    }
}

/// Appends entries to the journal as they arrive, and flushes it after [`FLUSH_INTERVAL`].
struct WriterThread {
    store: Store<DirectoryStorage>,
    events: EventSender,
    /// When the journal is flushed next; `None` if it has no unflushed entries.
    flush_due: Option<Instant>,
    /// The error of the last write, so that a repeated one is logged once.
    last_error: Option<String>,
}

impl WriterThread {
    fn run(mut self, batches: &Receiver<Vec<Entry>>) {
        loop {
            let appended = match batches.recv_timeout(self.receive_timeout()) {
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

    fn receive_timeout(&self) -> Duration {
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
        // A failed write is retried; the store keeps the entries until then.
        self.flush_due = self.last_error.is_some().then(|| Instant::now() + FLUSH_INTERVAL);
        // Fails only at shutdown, when the event loop has closed the channel.
        let _ = self.events.blocking_send(Event::StateSaved(self.status(started.elapsed())));
    }

    fn warn_of_new_error(&self, error: Option<&str>) {
        let Some(text) = error else { return };
        if self.last_error.as_deref() != error {
            warn_operators(&format!("could not persist learned state, retrying: {text}"));
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
