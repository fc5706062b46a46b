//! Watches the endpoint list file and reloads it when it has changed or an operator requests it.

use std::fs::Metadata;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use lockcroft_config::EndpointListConfig;
use lockcroft_host::NameIndex;
use tokio::sync::Notify;

use crate::event::{Event, EventSender};
use crate::warn_operators;

/// Polls the endpoint list file.
pub struct EndpointListWatcher {
    pub path: PathBuf,
    /// The interval between two checks for a change.
    pub interval: Duration,
    /// The configured names of zones, machine types and classes.
    pub names: NameIndex,
    /// The greatest weight that an endpoint may have.
    pub max_weight: f64,
    /// Notified to reload the file even if it has not changed.
    pub reload_requested: Rc<Notify>,
    pub events: EventSender,
}

/// Metadata by which a change of the file is detected.
#[derive(Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    inode: u64,
    modified_s: i64,
    modified_ns: i64,
    bytes: u64,
}

impl From<&Metadata> for FileStamp {
    fn from(file: &Metadata) -> Self {
        FileStamp {
            inode: file.ino(),
            modified_s: file.mtime(),
            modified_ns: file.mtime_nsec(),
            bytes: file.len(),
        }
    }
}

impl EndpointListWatcher {
    /// Runs until the event channel is closed. An invalid file is reported once, and the previous endpoint list stays
    /// in effect.
    pub async fn run(self) {
        let mut last_stamp = None;
        let mut is_requested = true;
        loop {
            let stamp = std::fs::metadata(&self.path).ok().as_ref().map(FileStamp::from);
            if is_requested || stamp != last_stamp {
                last_stamp = stamp;
                match EndpointListConfig::open(&self.path, &self.names, self.max_weight) {
                    Ok(list) => {
                        if self.events.send(Event::EndpointListRead(list)).await.is_err() {
                            return;
                        }
                    }
                    Err(errors) => warn_operators(&format!(
                        "rejected the endpoint list, keeping the previous one: {errors}"
                    )),
                }
            }
            is_requested = tokio::select! {
                () = tokio::time::sleep(self.interval) => false,
                () = self.reload_requested.notified() => true,
            };
        }
    }
}
