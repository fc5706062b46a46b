//! The folder of table files of a scenario, and what its proxies apply from it: a proxy's status says which snapshot it
//! applied as which version of its own, and what that snapshot holds is read here again from the folder.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use lockcroft_proxy::TableFilesConfig;
use lockcroft_table_format::{SnapshotContent, proto};
use lockcroft_table_store::{StatusReader, StoreLayout, load_snapshot, read_keys};
use lockcroft_testbed::{AppliedTable, ClassTable, EndpointWeight, TrafficEvent, TrafficRecorder};
use tokio::sync::Mutex;

/// Much shorter than the time for which old snapshots are kept, so that each is still there when it is looked up.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(20);
const PROXY_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// More than a controller keeps by default, so that the snapshots of the past can be looked up.
const KEPT_SNAPSHOTS: usize = 64;
const KEY_FILE_MODE: u32 = 0o600;

/// Where the table files of a scenario are.
#[derive(Clone)]
pub struct TableFolder {
    folder: PathBuf,
    keys: PathBuf,
    /// Held while a proxy restarts, so that nothing is recorded of the new process before its start is.
    pub restart_lock: Arc<Mutex<()>>,
}

/// A status that was recorded already.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SeenStatus {
    proxy: String,
    at_ms: u64,
    epoch: u64,
    version: u64,
    proxy_version: u64,
}

impl TableFolder {
    /// Makes the folder, with a key of its own.
    ///
    /// # Errors
    /// The folder or the key file can't be written.
    pub fn create(base: &Path) -> io::Result<Self> {
        let folder = base.join("tables");
        let keys = base.join("keys");
        fs::create_dir_all(&folder)?;
        // The secret of a scenario guards nothing.
        fs::write(&keys, format!("rehearsed {}\n", "5e".repeat(32)))?;
        fs::set_permissions(&keys, fs::Permissions::from_mode(KEY_FILE_MODE))?;
        Ok(TableFolder { folder, keys, restart_lock: Arc::default() })
    }

    /// The element of a controller's configuration.
    #[must_use]
    pub fn controller_xml(&self) -> String {
        format!(
            "<files folder=\"{}\" keys=\"{}\" generations=\"{KEPT_SNAPSHOTS}\" look-every=\"100ms\"/>\n",
            self.folder.display(),
            self.keys.display()
        )
    }

    /// The part of a proxy's configuration.
    #[must_use]
    pub fn proxy_config(&self) -> TableFilesConfig {
        TableFilesConfig {
            folder: self.folder.clone(),
            key_file: self.keys.clone(),
            poll_interval: PROXY_POLL_INTERVAL,
        }
    }

    /// Records what proxies apply, until it is dropped.
    pub async fn watch(self, recorder: TrafficRecorder) {
        let Ok(keys) = read_keys(&self.keys) else { return };
        let layout = StoreLayout::new(&self.folder);
        let mut statuses = StatusReader::default();
        let mut seen = BTreeSet::new();
        loop {
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
            // An asynchronous lock, which a restart holds over its own waits.
            let _no_restart = self.restart_lock.lock().await;
            for status in statuses.read_changed(&self.folder).unwrap_or_default() {
                for applied in
                    status.laid.iter().filter(|applied| seen.insert(SeenStatus::new(&status, applied)))
                {
                    // A snapshot that is gone already can't be judged: choices by it count as outside of the table.
                    if let Ok(snapshot) = load_snapshot(&layout, applied.epoch, applied.version, &keys) {
                        recorder.record(applied_event(&status.proxy, applied, &snapshot.content));
                    }
                }
            }
        }
    }
}

impl SeenStatus {
    fn new(status: &proto::Status, applied: &proto::Laid) -> Self {
        SeenStatus {
            proxy: status.proxy.clone(),
            at_ms: applied.at_ms,
            epoch: applied.epoch,
            version: applied.version,
            proxy_version: applied.set,
        }
    }
}

/// What a snapshot holds for this proxy.
fn applied_event(proxy: &str, applied: &proto::Laid, content: &SnapshotContent) -> TrafficEvent {
    let group = content.group_number_of(proxy).map(|number| &content.groups[&number]);
    let assignments: Vec<_> = group.into_iter().flat_map(|group| &group.assignments).collect();
    let tables: BTreeSet<u32> = assignments.iter().map(|(_, assignment)| assignment.table).collect();
    let entries = |number: &u32| {
        let entries = content.tables.get(number).into_iter().flat_map(|table| &table.entries);
        let weight = |(endpoint, entry): (&String, &lockcroft_table_format::TableEntry)| EndpointWeight {
            endpoint: endpoint.clone(),
            weight: entry.weight,
        };
        entries.map(weight).collect()
    };
    let tables =
        tables.iter().map(|number| AppliedTable { name: table_name(*number), entries: entries(number) });
    let class_tables = assignments.iter().map(|(class, assignment)| ClassTable {
        class: (*class).clone(),
        table: table_name(assignment.table),
    });
    TrafficEvent::SnapshotApplied {
        proxy: proxy.into(),
        version: applied.set,
        tables: tables.collect(),
        class_tables: class_tables.collect(),
        ejected: content.ejected.iter().cloned().collect(),
    }
}

/// As proxies name the table.
fn table_name(number: u32) -> String {
    format!("t{number}")
}
