//! The folder of table files of a scenario, and a task that records the snapshots that proxies apply from it. The
//! status file of a proxy names each applied snapshot and the proxy's own version; the content is read from the
//! folder.

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

/// The interval between two reads of the proxies' status files. It is much shorter than the time for which old
/// snapshots are kept, so that an applied snapshot can still be read.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(20);
const PROXY_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The number of snapshots that the controller keeps. It is above the default, so that applied snapshots can still be
/// read.
const KEPT_SNAPSHOTS: usize = 64;
const KEY_FILE_MODE: u32 = 0o600;

/// The folder of table files of a scenario and its key file.
#[derive(Clone)]
pub struct TableFolder {
    folder: PathBuf,
    key_file: PathBuf,
    /// Held while a proxy restarts, so that its start is recorded before anything else of the new process.
    pub restart_lock: Arc<Mutex<()>>,
}

/// Identifies an applied snapshot in a proxy's status that was already recorded.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SeenStatus {
    proxy: String,
    at_ms: u64,
    epoch: u64,
    version: u64,
    proxy_version: u64,
}

impl TableFolder {
    /// Creates the folder and a key file in `base`.
    ///
    /// # Errors
    /// The folder or the key file can't be written.
    pub fn create(base: &Path) -> io::Result<Self> {
        let folder = base.join("tables");
        let key_file = base.join("keys");
        fs::create_dir_all(&folder)?;
        // A fixed key is sufficient, as a scenario has nothing to protect.
        fs::write(&key_file, format!("rehearsed {}\n", "5e".repeat(32)))?;
        fs::set_permissions(&key_file, fs::Permissions::from_mode(KEY_FILE_MODE))?;
        Ok(TableFolder { folder, key_file, restart_lock: Arc::default() })
    }

    /// Returns the element `files` of a controller's configuration.
    #[must_use]
    pub fn controller_xml(&self) -> String {
        format!(
            "<files folder=\"{}\" keys=\"{}\" generations=\"{KEPT_SNAPSHOTS}\" look-every=\"100ms\"/>\n",
            self.folder.display(),
            self.key_file.display()
        )
    }

    /// Returns the settings of table files for a proxy's configuration.
    #[must_use]
    pub fn proxy_config(&self) -> TableFilesConfig {
        TableFilesConfig {
            folder: self.folder.clone(),
            key_file: self.key_file.clone(),
            poll_interval: PROXY_POLL_INTERVAL,
        }
    }

    /// Records the snapshots that proxies apply, until the future is dropped.
    pub async fn record_applied(self, recorder: TrafficRecorder) {
        let Ok(keys) = read_keys(&self.key_file) else { return };
        let layout = StoreLayout::new(&self.folder);
        let mut statuses = StatusReader::default();
        let mut seen = BTreeSet::new();
        loop {
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
            // An asynchronous lock, because a restart holds it across await points.
            let _restart_guard = self.restart_lock.lock().await;
            for status in statuses.read_changed(&self.folder).unwrap_or_default() {
                for applied in
                    status.laid.iter().filter(|applied| seen.insert(SeenStatus::new(&status, applied)))
                {
                    // A deleted snapshot can't be recorded. The check then counts choices by it as violations.
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

/// Returns the event of a proxy that applied a snapshot, with the content of the snapshot for this proxy.
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

/// Returns the name that proxies use for the table of this number.
fn table_name(number: u32) -> String {
    format!("t{number}")
}
