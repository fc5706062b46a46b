//! Follows a snapshot folder: reads each new snapshot on a blocking thread, applies it as a batch of
//! commands, and acknowledges it in the status file of the proxy.

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

/// The number of applied snapshots that the status file lists; older ones are removed.
const MAX_STATUS_ENTRIES: usize = 32;

/// Returns a reader of the folder that starts at the snapshot which the proxy applied last before its
/// restart, according to its status file. Blocks on file operations.
///
/// # Errors
/// Returns an error if the keys can't be read.
pub fn open_reader(proxy: &str, config: &TableFilesConfig) -> io::Result<SnapshotReader> {
    let keys = read_keys(&config.key_file).map_err(io::Error::other)?;
    let last_applied =
        StatusReader::read_one(&config.folder, proxy).and_then(|status| status.laid.last().cloned());
    let position = last_applied.map(|applied| (applied.epoch, applied.version));
    Ok(SnapshotReader::new(&config.folder, proxy, keys, position))
}

/// Follows the folder until the future is dropped.
pub async fn follow(worker: Rc<Worker>, config: TableFilesConfig, reader: SnapshotReader) {
    let mut watch = FolderWatch::new(&config.folder);
    let poll_interval = config.poll_interval;
    let mut follower = Follower::new(worker, &config);
    let mut scanner = FolderScanner { reader, key_file: config.key_file };
    loop {
        let (returned_scanner, result) = run_blocking(Priority::Read, move || {
            let result = scanner.scan();
            (scanner, result)
        })
        .await;
        scanner = returned_scanner;
        match result {
            Ok(scan) => follower.apply_scan(scan).await,
            Err(error) => follower.warn_once(&error),
        }
        watch.wait_for_change(poll_interval).await;
    }
}

/// Scans the folder. It is moved to a blocking thread for each scan.
struct FolderScanner {
    reader: SnapshotReader,
    key_file: PathBuf,
}

impl FolderScanner {
    /// Scans the folder for snapshots to apply and to reject.
    ///
    /// # Errors
    /// Returns an error if the folder can't be read.
    fn scan(&mut self) -> io::Result<ScanResult> {
        let scan = self.reader.scan()?;
        // The keys may have been rotated: if a snapshot has no seal of a known key, the keys are read again
        // and the scan is repeated.
        let has_unknown_seal = scan.rejected.iter().any(|rejected| rejected.reason.contains("no seal"));
        if has_unknown_seal && let Ok(keys) = read_keys(&self.key_file) {
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
    session: ControlSession,
    status: proto::Status,
    /// The last logged error of a scan, so that it is not logged at each scan; empty after a successful scan.
    last_logged_error: String,
}

impl Follower {
    fn new(worker: Rc<Worker>, config: &TableFilesConfig) -> Self {
        Follower {
            status: proto::Status::for_proxy(&worker.config.name),
            worker,
            folder: config.folder.clone(),
            commands: SnapshotCommands::default(),
            session: ControlSession::new(AccessLevel::Admin),
            last_logged_error: String::new(),
        }
    }

    /// Logs an error unless it equals the last one.
    fn warn_once(&mut self, error: &io::Error) {
        let error = error.to_string();
        if self.last_logged_error != error {
            warn!(
                target: "lockcroft::table_files",
                folder = %self.folder.display(),
                "failed to read the snapshot folder, keeping the applied tables: {error}"
            );
            self.last_logged_error = error;
        }
    }

    /// Applies and rejects the snapshots of a scan, and writes the status file if something changed.
    async fn apply_scan(&mut self, scan: ScanResult) {
        self.last_logged_error.clear();
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

    /// Records a rejected snapshot in the status. Returns false if the status contains it already.
    fn record_rejection(&mut self, rejected: RejectedSnapshot) -> bool {
        let RejectedSnapshot { epoch, version, reason } = rejected;
        let is_known = self
            .status
            .refused
            .as_ref()
            .is_some_and(|known| known.epoch == epoch && known.version == version && known.why == reason);
        if is_known {
            return false;
        }
        warn!(target: "lockcroft::table_files", epoch, version, "rejected snapshot: {reason}");
        self.status.refused = Some((epoch, version, reason).into()).into();
        true
    }

    /// Records an applied snapshot in the status. `batch_version` is 0 if it changed nothing.
    fn record_applied(&mut self, snapshot: &ProxySnapshot, batch_version: u64) {
        let (epoch, version, assigned) = (snapshot.epoch, snapshot.version, !snapshot.assignments.is_empty());
        info!(target: "lockcroft::table_files", epoch, version, batch = batch_version, assigned, "applied snapshot");
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
        // Rejections of older snapshots are obsolete.
        let newer_rejection =
            self.status.refused.take().filter(|refused| (refused.epoch, refused.version) > (epoch, version));
        self.status.refused = newer_rejection.into();
    }

    /// Applies a snapshot. Returns the resulting version of the routing state, or 0 if there was nothing to
    /// change or the commands were refused.
    async fn apply(&mut self, snapshot: &ProxySnapshot) -> u64 {
        let commands = self.commands.commands(&self.worker.state(), snapshot);
        if commands.is_empty() {
            return 0;
        }
        let previous_version = self.worker.state().version;
        let mut answers = String::new();
        self.worker.inject_stall(&commands);
        self.worker.execute(commands, &mut self.session, &mut answers).await;
        self.worker.capacity_changed.notify_waiters();
        let version = self.worker.state().version;
        if version == previous_version {
            warn!(target: "lockcroft::table_files", "failed to apply snapshot: {}", answers.trim());
            return 0;
        }
        version
    }

    async fn write_status(&self) {
        let (folder, status) = (self.folder.clone(), self.status.clone());
        let written = run_blocking(Priority::WriteStatus, move || write_status(&folder, &status)).await;
        if let Err(error) = written {
            // The controller keeps using the last status that it has read.
            warn!(target: "lockcroft::table_files", "failed to write the status file: {error}");
        }
    }
}
