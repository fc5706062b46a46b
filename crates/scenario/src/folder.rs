//! The folder of a day's proxies that read files, and what they laid of it: a proxy says in its status which generation
//! it laid as which set, and what that generation holds is read here anew from the folder.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use lockcroft_proxy::TableFilesConfig;
use lockcroft_table_format::{SnapshotContent, proto};
use lockcroft_table_store::{StatusReader, StoreLayout, find, read_keys};
use lockcroft_testbed::{TrafficEvent, TrafficRecorder};
use tokio::sync::Mutex;

/// Statuses are looked at so often: much oftener than generations of the past are taken away.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// A rehearsal keeps more of them than a pilot would of itself, for this to find them.
pub const GENERATIONS: usize = 64;

/// Where the files of a day stand.
#[derive(Clone)]
pub struct Folder {
    pub folder: PathBuf,
    keys: PathBuf,
    /// Held while a proxy is started anew, so that nothing is heard of the new one before that was recorded.
    pub quiet: Arc<Mutex<()>>,
}

impl Folder {
    /// Makes the folder, with a key of its own.
    ///
    /// # Errors
    /// As the file system says.
    pub fn make(base: &Path) -> io::Result<Self> {
        let (folder, keys) = (base.join("tables"), base.join("keys"));
        fs::create_dir_all(&folder)?;
        // A rehearsal's secret guards nothing.
        fs::write(&keys, format!("rehearsed {}\n", "5e".repeat(32)))?;
        fs::set_permissions(&keys, fs::Permissions::from_mode(0o600))?;
        Ok(Folder { folder, keys, quiet: Arc::default() })
    }

    /// The element of a pilot's settings.
    pub fn settings(&self) -> String {
        format!(
            "<files folder=\"{}\" keys=\"{}\" generations=\"{GENERATIONS}\" look-every=\"100ms\"/>\n",
            self.folder.display(),
            self.keys.display()
        )
    }

    pub fn terms(&self) -> TableFilesConfig {
        TableFilesConfig {
            folder: self.folder.clone(),
            keys: self.keys.clone(),
            look_every: Duration::from_millis(500),
        }
    }

    /// Records what proxies lay, for as long as the day lasts.
    pub async fn watch(self, tap: TrafficRecorder) {
        let Ok(keys) = read_keys(&self.keys) else { return };
        let (mut statuses, mut heard) = (StatusReader::default(), BTreeSet::new());
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let _quiet = self.quiet.lock().await;
            for status in statuses.look(&self.folder).unwrap_or_default() {
                for laid in &status.laid {
                    if heard.insert((status.proxy.clone(), laid.at_ms, laid.epoch, laid.version, laid.set)) {
                        let layout = StoreLayout::new(&self.folder);
                        // One that is gone by now can't be judged, and its choices then count as outside.
                        if let Ok(found) = find(&layout, laid.epoch, laid.version, &keys) {
                            tap.put(told(&status.proxy, laid, &found.content));
                        }
                    }
                }
            }
        }
    }
}

fn told(proxy: &str, laid: &proto::Laid, content: &SnapshotContent) -> TrafficEvent {
    let group = content.group_of(proxy).map(|number| &content.groups[&number]);
    let bound: Vec<_> = group.into_iter().flat_map(|group| &group.bound).collect();
    let tables: BTreeSet<u32> = bound.iter().map(|(_, bound)| bound.table).collect();
    let lines = |number: &u32| {
        let lines = content.tables.get(number).into_iter().flat_map(|table| &table.lines);
        lines.map(|(server, line)| (server.clone(), line.weight)).collect()
    };
    TrafficEvent::Laid {
        relay: proxy.into(),
        set: laid.set,
        tables: tables.iter().map(|number| (format!("t{number}"), lines(number))).collect(),
        map: bound.iter().map(|(class, bound)| ((*class).clone(), format!("t{}", bound.table))).collect(),
        withdrawn: content.withdrawn.iter().cloned().collect(),
    }
}
