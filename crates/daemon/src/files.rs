//! The folder of generations: one thread writes what it is given, and what proxies write back is looked at.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, SystemTime};

use lockcroft_config::TableFilesConfig;
use lockcroft_fleet::{AppliedReport, Publication, PublishError};
use lockcroft_table_format::proto::Status;
use lockcroft_table_store::{SnapshotWriter, StatusReader, WriteError, WrittenSnapshot, read_keys};
use tracing::info;

use crate::{Event, Told, complain};

/// The inbox of the thread that writes; it ends with this.
pub struct SnapshotPublisher(Sender<Arc<Publication>>);

impl SnapshotPublisher {
    /// # Errors
    /// The thread can't be had, or the keys can't be read.
    pub fn start(at: &TableFilesConfig, pilot: &str, told: Told) -> Result<Self, String> {
        let (sender, inbox) = channel();
        // Wrong keys are told at the start; later the last good ones stay.
        read_keys(&at.key_file).map_err(|error| error.to_string())?;
        let hand = ProxyConnections { at: at.clone(), pilot: pilot.into(), writer: None };
        let work = move || hand.work(&inbox, &told);
        let thread = std::thread::Builder::new().name("files".into()).spawn(work);
        thread.map(|_| SnapshotPublisher(sender)).map_err(|e| e.to_string())
    }

    pub fn write(&self, publication: Arc<Publication>) {
        // The thread ends only with the pilot.
        let _ = self.0.send(publication);
    }
}

struct ProxyConnections {
    at: TableFilesConfig,
    pilot: String,
    writer: Option<SnapshotWriter>,
}

impl ProxyConnections {
    fn work(mut self, inbox: &Receiver<Arc<Publication>>, told: &Told) {
        while let Ok(publication) = inbox.recv() {
            let done = self.write(&publication);
            if told.blocking_send(Event::SnapshotWritten { done }).is_err() {
                return;
            }
        }
    }

    /// The epoch is taken with the first generation, so that a pilot that has nothing to say fences nobody off.
    fn write(&mut self, publication: &Publication) -> Result<WrittenSnapshot, PublishError> {
        let keys = read_keys(&self.at.key_file);
        let writer = match (&mut self.writer, keys) {
            (Some(writer), Ok(keys)) => {
                writer.turn_over(keys);
                writer
            }
            (Some(writer), Err(wrong)) => {
                complain(&format!("the keys stay as they were: {wrong}"));
                writer
            }
            (none, Ok(keys)) => {
                let taken = SnapshotWriter::take(&self.at.directory, &self.pilot, keys);
                let writer = taken.map_err(|e| failed(&self.at, &e.to_string()))?;
                info!(target: "lockcroft::daemon", epoch = writer.epoch(), "epoch of files taken");
                none.insert(writer)
            }
            (None, Err(wrong)) => return Err(PublishError::Failed(wrong.to_string())),
        };
        writer.write(&publication.content, publication.keep).map_err(|wrong| match wrong {
            WriteError::Fenced(epoch) => PublishError::Fenced(epoch),
            WriteError::Io(error) => failed(&self.at, &error.to_string()),
        })
    }
}

fn failed(at: &TableFilesConfig, why: &str) -> PublishError {
    PublishError::Failed(format!("{}: {why}", at.directory.display()))
}

/// Looks at what proxies write back, and tells what changed.
pub async fn watch(folder: PathBuf, every: Duration, start: SystemTime, told: Told) {
    let mut statuses = StatusReader::default();
    loop {
        tokio::time::sleep(every).await;
        let own = folder.clone();
        // A disk that hangs keeps nobody waiting but this.
        let looked = tokio::task::spawn_blocking(move || {
            let changed = statuses.look(&own).unwrap_or_default();
            (statuses, changed)
        });
        let Ok((kept, changed)) = looked.await else { return };
        statuses = kept;
        if changed.is_empty() {
            continue;
        }
        let reports = changed.into_iter().map(|status| report(status, start)).collect();
        if told.send(Event::Laid { reports }).await.is_err() {
            return;
        }
    }
}

fn report(status: Status, start: SystemTime) -> AppliedReport {
    let start = start.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let since = |at_ms: u64| Duration::from_millis(at_ms).saturating_sub(start);
    AppliedReport {
        proxy: status.proxy,
        laid: status.laid.last().map(|laid| (laid.epoch, laid.version, since(laid.at_ms))),
        refused: status.refused.into_option().map(|refused| (refused.epoch, refused.version, refused.why)),
    }
}
