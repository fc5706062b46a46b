//! Watches the status files in which proxies report the snapshots that they have applied or rejected.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use lockcroft_fleet::{AppliedVersion, RejectedVersion, SnapshotReport};
use lockcroft_table_format::proto::Status;
use lockcroft_table_store::StatusReader;

use crate::event::{Event, EventSender};

/// Polls the status files in a directory and sends the changed ones as an event, until the event channel is closed.
/// `start` is the wall-clock time at which the controller's clock started. If the directory can't be read, nothing is
/// sent.
pub async fn watch(directory: PathBuf, interval: Duration, start: SystemTime, events: EventSender) {
    let mut reader = StatusReader::default();
    loop {
        tokio::time::sleep(interval).await;
        let directory = directory.clone();
        // A blocking thread reads the files, so that a slow disk delays only this task.
        let scan = tokio::task::spawn_blocking(move || {
            let changed = reader.read_changed(&directory).unwrap_or_default();
            (reader, changed)
        });
        let Ok((returned, changed)) = scan.await else { return };
        reader = returned;
        if changed.is_empty() {
            continue;
        }
        let reports = changed.into_iter().map(|status| snapshot_report(status, start)).collect();
        if events.send(Event::SnapshotsReported { reports }).await.is_err() {
            return;
        }
    }
}

fn snapshot_report(status: Status, start: SystemTime) -> SnapshotReport {
    let start = start.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let applied = status.laid.last().map(|applied| AppliedVersion {
        epoch: applied.epoch,
        version: applied.version,
        applied_at: Duration::from_millis(applied.at_ms).saturating_sub(start),
    });
    let rejected = status.refused.into_option().map(|rejected| RejectedVersion {
        epoch: rejected.epoch,
        version: rejected.version,
        reason: rejected.why,
    });
    SnapshotReport { proxy: status.proxy, applied, rejected }
}
