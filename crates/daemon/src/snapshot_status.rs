//! Watches the status files in which proxies report the snapshots that they have applied or refuse.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use lockcroft_fleet::{AppliedVersion, RejectedVersion, SnapshotReport};
use lockcroft_table_format::proto::Status;
use lockcroft_table_store::StatusReader;

use crate::event::{Event, EventSender};

/// Polls the folder, and reports what changed. `start` is when the controller's clock began.
pub async fn watch(directory: PathBuf, interval: Duration, start: SystemTime, events: EventSender) {
    let mut reader = StatusReader::default();
    loop {
        tokio::time::sleep(interval).await;
        let directory = directory.clone();
        // A disk that hangs keeps nobody waiting but this task.
        let scan = tokio::task::spawn_blocking(move || {
            let changed = reader.read_changed(&directory).unwrap_or_default();
            (reader, changed)
        });
        let Ok((returned, changed)) = scan.await else { return };
        reader = returned;
        if changed.is_empty() {
            continue;
        }
        let reports = changed.into_iter().map(|status| report(status, start)).collect();
        if events.send(Event::SnapshotsApplied { reports }).await.is_err() {
            return;
        }
    }
}

fn report(status: Status, start: SystemTime) -> SnapshotReport {
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
