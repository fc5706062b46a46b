//! Follows a snapshot folder: reads each new snapshot off the thread, applies it like a batch of commands, and
//! acknowledges it in the proxy's own status file.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::SystemTime;

use lockcroft_runtime_api::AccessLevel;
use lockcroft_table_format::proto;
use lockcroft_table_store::{
    ProxySnapshot, RejectedSnapshot, ScanResult, SnapshotReader, StatusReader, read_keys, write_status,
};
use tracing::{info, warn};

use super::blocking_pool::{Priority, run_blocking};
use super::folder_watch::FolderWatch;
use super::worker::Worker;
use crate::config::TableFilesConfig;
use crate::control_session::ControlSession;
use crate::snapshot_commands::SnapshotCommands;

/// Applied snapshots that the status file lists.
const MAX_STATUS_ENTRIES: usize = 32;

/// Opens the folder's reader, which goes on from what the proxy applied before it was started.
///
/// # Errors
/// The keys can't be read.
pub fn open_reader(proxy: &str, config: &TableFilesConfig) -> io::Result<SnapshotReader> {
    let keys = read_keys(&config.key_file).map_err(io::Error::other)?;
    let applied =
        StatusReader::read_one(&config.folder, proxy).and_then(|status| status.laid.last().cloned());
    let position = applied.map(|applied| (applied.epoch, applied.version));
    Ok(SnapshotReader::new(&config.folder, proxy, keys, position))
}

/// Follows the folder until dropped.
pub async fn follow(worker: Rc<Worker>, config: TableFilesConfig, reader: SnapshotReader) {
    let mut watch = FolderWatch::new(&config.folder);
    let poll_interval = config.poll_interval;
    let mut follower = Follower::new(worker, &config);
    let mut scanner = FolderScanner { reader, keys: config.key_file };
    loop {
        let (returned, result) = run_blocking(Priority::Read, move || {
            let result = scanner.scan();
            (scanner, result)
        })
        .await;
        scanner = returned;
        match result {
            Ok(scan) => follower.apply_scan(scan).await,
            Err(error) => follower.warn_once(&error),
        }
        watch.changed(poll_interval).await;
    }
}

/// Reads the folder; sent to a blocking thread for each scan.
struct FolderScanner {
    reader: SnapshotReader,
    /// The file of the keys.
    keys: PathBuf,
}

impl FolderScanner {
    fn scan(&mut self) -> io::Result<ScanResult> {
        let scan = self.reader.scan()?;
        // The keys may have been rotated: what they don't vouch for is read once more with the current ones.
        let has_unknown_seal = scan.rejected.iter().any(|refused| refused.reason.contains("no seal"));
        if has_unknown_seal && let Ok(keys) = read_keys(&self.keys) {
            self.reader.replace_keys(keys);
            return self.reader.scan();
        }
        Ok(scan)
    }
}

/// Applies snapshots and writes the status file.
struct Follower {
    worker: Rc<Worker>,
    folder: PathBuf,
    commands: SnapshotCommands,
    queue: ControlSession,
    status: proto::Status,
    /// The error that was logged last, so that it is not logged at each scan.
    logged_error: String,
}

impl Follower {
    fn new(worker: Rc<Worker>, config: &TableFilesConfig) -> Self {
        Follower {
            status: proto::Status::for_proxy(&worker.config.name),
            worker,
            folder: config.folder.clone(),
            commands: SnapshotCommands::default(),
            queue: ControlSession::new(AccessLevel::Admin),
            logged_error: String::new(),
        }
    }

    fn warn_once(&mut self, error: &io::Error) {
        let error = error.to_string();
        if self.logged_error != error {
            warn!(target: "lockcroft::table_files", folder = %self.folder.display(), "the folder cannot be read, the applied tables stay: {error}");
            self.logged_error = error;
        }
    }

    async fn apply_scan(&mut self, scan: ScanResult) {
        self.logged_error.clear();
        let mut status_changed = false;
        for rejected in scan.rejected {
            status_changed |= self.record_rejection(rejected);
        }
        for snapshot in &scan.to_apply {
            let batch_version = self.apply(snapshot).await;
            self.record_applied(snapshot, batch_version);
            status_changed = true;
        }
        if status_changed {
            self.write_status().await;
        }
    }

    /// Notes a snapshot that is not valid; whether that is news.
    fn record_rejection(&mut self, rejected: RejectedSnapshot) -> bool {
        let RejectedSnapshot { epoch, version, reason: why } = rejected;
        let is_known = self
            .status
            .refused
            .as_ref()
            .is_some_and(|known| known.epoch == epoch && known.version == version && known.why == why);
        if is_known {
            return false;
        }
        warn!(target: "lockcroft::table_files", epoch, version, "rejected: {why}");
        self.status.refused = Some((epoch, version, why).into()).into();
        true
    }

    fn record_applied(&mut self, snapshot: &ProxySnapshot, batch_version: u64) {
        let (epoch, version, assigned) = (snapshot.epoch, snapshot.version, !snapshot.assignments.is_empty());
        info!(target: "lockcroft::table_files", epoch, version, batch = batch_version, assigned, "applied");
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        self.status.laid.push(proto::Laid {
            epoch,
            version,
            set: batch_version,
            at_ms: since_epoch.as_millis() as u64,
            bound: assigned,
            ..Default::default()
        });
        let surplus = self.status.laid.len().saturating_sub(MAX_STATUS_ENTRIES);
        self.status.laid.drain(..surplus);
        // A rejection of an older snapshot is of no interest any more.
        let newer =
            self.status.refused.take().filter(|refused| (refused.epoch, refused.version) > (epoch, version));
        self.status.refused = newer.into();
    }

    /// Applies a snapshot; the version of the batch that came of it, 0 if nothing changed.
    async fn apply(&mut self, snapshot: &ProxySnapshot) -> u64 {
        let commands = self.commands.commands(&self.worker.state(), snapshot);
        if commands.is_empty() {
            return 0;
        }
        let previous = self.worker.state().version;
        let mut answers = String::new();
        self.worker.stall(&commands);
        self.worker.execute(commands, &mut self.queue, &mut answers).await;
        self.worker.capacity.notify_waiters();
        let version = self.worker.state().version;
        if version == previous {
            warn!(target: "lockcroft::table_files", "not applied: {}", answers.trim());
            return 0;
        }
        version
    }

    async fn write_status(&self) {
        let (folder, status) = (self.folder.clone(), self.status.clone());
        let written = run_blocking(Priority::WriteStatus, move || write_status(&folder, &status)).await;
        if let Err(error) = written {
            // The controller goes on with what it knew before.
            warn!(target: "lockcroft::table_files", "the status cannot be written: {error}");
        }
    }
}
