//! Writes snapshots of table files on a thread of its own, so that a disk that hangs keeps no decision waiting.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::Receiver;

use lockcroft_config::TableFilesConfig;
use lockcroft_fleet::{Publication, PublishError};
use lockcroft_table_store::{SnapshotWriter, WriteError, WrittenSnapshot, read_keys};
use thiserror::Error;
use tracing::info;

use crate::error::DaemonError;
use crate::event::{Event, EventSender};
use crate::warn_operators;
use crate::worker_thread::WorkerThread;

/// The folder could not be written.
#[derive(Debug, Error)]
#[error("{}: {source}", directory.display())]
struct FolderError {
    directory: PathBuf,
    source: io::Error,
}

/// The thread that writes.
pub struct SnapshotPublisher(WorkerThread<Arc<Publication>>);

impl SnapshotPublisher {
    /// Starts the thread.
    ///
    /// # Errors
    /// The thread can't be had, or the keys can't be read. Later the last good keys stay.
    pub fn start(
        config: &TableFilesConfig,
        controller: &str,
        events: EventSender,
    ) -> Result<Self, DaemonError> {
        read_keys(&config.key_file).map_err(|error| DaemonError::Keys(error.into()))?;
        let worker = PublisherThread { config: config.clone(), controller: controller.into(), writer: None };
        let thread = WorkerThread::spawn("files", move |inbox| worker.run(inbox, &events));
        Ok(SnapshotPublisher(thread.map_err(DaemonError::Thread)?))
    }

    /// Hands a snapshot to the thread.
    pub fn write(&self, publication: Arc<Publication>) {
        self.0.send(publication);
    }

    /// Takes no more snapshots; those that were handed over are written.
    pub fn close(&mut self) {
        self.0.close();
    }

    /// Whether all is written.
    pub fn has_ended(&self) -> bool {
        self.0.has_ended()
    }
}

struct PublisherThread {
    config: TableFilesConfig,
    controller: String,
    writer: Option<SnapshotWriter>,
}

impl PublisherThread {
    fn run(mut self, inbox: &Receiver<Arc<Publication>>, events: &EventSender) {
        while let Ok(publication) = inbox.recv() {
            let result = self.write(&publication);
            // At the end of the daemon nobody takes it any more.
            let _ = events.blocking_send(Event::SnapshotWritten { result });
        }
    }

    fn write(&mut self, publication: &Publication) -> Result<WrittenSnapshot, PublishError> {
        let written = self.writer()?.write(&publication.content, publication.retention);
        written.map_err(|error| match error {
            WriteError::Fenced(epoch) => PublishError::Fenced(epoch),
            WriteError::Io(source) => self.folder_error(source),
        })
    }

    /// The writer with the keys as they are now. The epoch is taken with the first snapshot, so that a controller
    /// that has nothing to publish fences nobody off.
    fn writer(&mut self) -> Result<&mut SnapshotWriter, PublishError> {
        let keys = read_keys(&self.config.key_file);
        if self.writer.is_none() {
            let keys = keys.map_err(|error| PublishError::Failed(error.into()))?;
            let taken = SnapshotWriter::acquire_epoch(&self.config.directory, &self.controller, keys);
            let writer = taken.map_err(|source| self.folder_error(source))?;
            info!(target: "lockcroft::daemon", epoch = writer.epoch(), "epoch of files taken");
            return Ok(self.writer.insert(writer));
        }
        let writer = self.writer.as_mut().ok_or(PublishError::Unexpected)?;
        match keys {
            Ok(keys) => writer.replace_keys(keys),
            Err(error) => warn_operators(&format!("the keys stay as they were: {error}")),
        }
        Ok(writer)
    }

    fn folder_error(&self, source: io::Error) -> PublishError {
        let directory = self.config.directory.clone();
        PublishError::Failed(FolderError { directory, source }.into())
    }
}
