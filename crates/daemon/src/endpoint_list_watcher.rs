//! Watches the file of the endpoint list, and reads it again when it changed or an operator asks for it.

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

/// Polls one file.
pub struct EndpointListWatcher {
    pub path: PathBuf,
    pub interval: Duration,
    pub names: NameIndex,
    pub max_weight: f64,
    /// Notified when the file is to be read whether it changed or not.
    pub reread: Rc<Notify>,
    pub events: EventSender,
}

/// What tells one state of a file from another.
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
    /// Runs until nobody takes events any more. A file with an error in it is reported once, and the list before it
    /// stands.
    pub async fn run(self) {
        let mut last = None;
        let mut is_requested = true;
        loop {
            let stamp = std::fs::metadata(&self.path).ok().as_ref().map(FileStamp::from);
            if is_requested || stamp != last {
                last = stamp;
                match EndpointListConfig::open(&self.path, &self.names, self.max_weight) {
                    Ok(list) => {
                        if self.events.send(Event::EndpointListRead(list)).await.is_err() {
                            return;
                        }
                    }
                    Err(errors) => warn_operators(&format!("the list stays as it was: {errors}")),
                }
            }
            is_requested = tokio::select! {
                () = tokio::time::sleep(self.interval) => false,
                () = self.reread.notified() => true,
            };
        }
    }
}
