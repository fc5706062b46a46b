//! Writes snapshots of table files on a separate thread, so that a slow disk does not delay decisions.

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

/// An I/O error, with the directory of the table files.
#[derive(Debug, Error)]
#[error("{}: {source}", directory.display())]
struct DirectoryError {
    directory: PathBuf,
    source: io::Error,
}

/// The thread that writes snapshots.
pub struct SnapshotPublisher(WorkerThread<Arc<Publication>>);

impl SnapshotPublisher {
    /// Starts the thread. The key file is read again for each snapshot; if that fails, the previous keys stay in use.
    ///
    /// # Errors
    /// The thread could not be spawned, or the key file could not be read.
    pub fn start(
        config: &TableFilesConfig,
        controller: &str,
        events: EventSender,
    ) -> Result<Self, DaemonError> {
        read_keys(&config.key_file).map_err(|error| DaemonError::Keys(error.into()))?;
        let worker = PublisherThread { config: config.clone(), controller: controller.into(), writer: None };
        let thread = WorkerThread::spawn("files", move |publications| worker.run(publications, &events));
        Ok(SnapshotPublisher(thread.map_err(DaemonError::Thread)?))
    }

    /// Queues a snapshot to be written.
    pub fn write(&self, publication: Arc<Publication>) {
        self.0.send(publication);
    }

    /// Accepts no more snapshots. Queued ones are still written.
    pub fn close(&mut self) {
        self.0.close();
    }

    /// Returns true if the thread has ended: it was closed, and all queued snapshots are written.
    pub fn has_ended(&self) -> bool {
        self.0.has_ended()
    }
}

struct PublisherThread {
    config: TableFilesConfig,
    /// The controller's name.
    controller: String,
    /// `None` until an epoch is acquired.
    writer: Option<SnapshotWriter>,
}

impl PublisherThread {
    fn run(mut self, publications: &Receiver<Arc<Publication>>, events: &EventSender) {
        while let Ok(publication) = publications.recv() {
            let result = self.write(&publication);
            // Fails only at shutdown, when the event loop has closed the channel.
            let _ = events.blocking_send(Event::SnapshotWritten { result });
        }
    }

    fn write(&mut self, publication: &Publication) -> Result<WrittenSnapshot, PublishError> {
        let written = self.writer()?.write(&publication.content, publication.retention);
        written.map_err(|error| match error {
            WriteError::Fenced(epoch) => PublishError::Fenced(epoch),
            WriteError::Io(source) => self.directory_error(source),
        })
    }

    /// Returns the writer with the current keys. The epoch is acquired with the first snapshot, so that a controller
    /// with nothing to publish does not fence off another one.
    fn writer(&mut self) -> Result<&mut SnapshotWriter, PublishError> {
        let keys = read_keys(&self.config.key_file);
        if self.writer.is_none() {
            let keys = keys.map_err(|error| PublishError::Failed(error.into()))?;
            let acquired = SnapshotWriter::acquire_epoch(&self.config.directory, &self.controller, keys);
            let writer = acquired.map_err(|source| self.directory_error(source))?;
            info!(target: "lockcroft::daemon", epoch = writer.epoch(), "acquired writer epoch");
            return Ok(self.writer.insert(writer));
        }
        let writer = self.writer.as_mut().ok_or(PublishError::Unexpected)?;
        match keys {
            Ok(keys) => writer.replace_keys(keys),
            Err(error) => warn_operators(&format!(
                "could not reload the table file keys, keeping the previous keys: {error}"
            )),
        }
        Ok(writer)
    }

    fn directory_error(&self, source: io::Error) -> PublishError {
        let directory = self.config.directory.clone();
        PublishError::Failed(DirectoryError { directory, source }.into())
    }
}
