//! Detects changes in a snapshot folder by file events of the operating system, with polling as the fallback
//! if events are missing. Proxies of one process that follow the same folder share one watcher, as the
//! operating system limits their number.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;

use lockcroft_table_store::StoreLayout;
use notify::{RecommendedWatcher, RecursiveMode, Watcher};
use tokio::sync::watch;
use tracing::warn;

/// Notifies one proxy of changes in a folder.
pub struct FolderWatch {
    shared: Arc<SharedWatcher>,
    changes: watch::Receiver<u64>,
}

impl FolderWatch {
    /// Returns a watch that uses the watcher of this folder, which is started if there is none in the process
    /// yet.
    pub fn new(folder: &Path) -> Self {
        let shared = SharedWatcher::get_or_create(folder);
        FolderWatch { changes: shared.changes.subscribe(), shared }
    }

    /// Waits until the folder may have changed or `timeout` has passed. Returns immediately if the set of
    /// watched folders has changed.
    pub async fn wait_for_change(&mut self, timeout: Duration) {
        if self.shared.update_watched_folders() {
            // Changes made before the new folder was watched raised no event: the caller has to read it
            // again.
            return;
        }
        // The caller reads the folder after a timeout as after an event.
        let _ = tokio::time::timeout(timeout, self.changes.changed()).await;
    }
}

/// The watcher of one folder.
struct SharedWatcher {
    folder: PathBuf,
    /// The number of relevant events so far.
    changes: watch::Sender<u64>,
    /// `None` if the operating system provides no file events.
    watcher: Mutex<Option<WatchedFolders>>,
}

/// A watcher of the operating system, and the folders that it watches.
struct WatchedFolders {
    watcher: RecommendedWatcher,
    folders: Vec<PathBuf>,
}

type Registry = BTreeMap<PathBuf, Weak<SharedWatcher>>;

/// Locks and returns the process-wide registry of watchers that are in use.
fn registry() -> MutexGuard<'static, Registry> {
    static REGISTRY: OnceLock<Mutex<Registry>> = OnceLock::new();
    REGISTRY.get_or_init(Mutex::default).lock().unwrap_or_else(PoisonError::into_inner)
}

impl SharedWatcher {
    /// Returns the watcher of a folder from the registry, or adds a new one.
    fn get_or_create(folder: &Path) -> Arc<Self> {
        let mut registry = registry();
        registry.retain(|_, shared| shared.strong_count() > 0);
        if let Some(shared) = registry.get(folder).and_then(Weak::upgrade) {
            return shared;
        }
        let shared = Arc::new(SharedWatcher::new(folder));
        registry.insert(folder.into(), Arc::downgrade(&shared));
        shared
    }

    fn new(folder: &Path) -> Self {
        let changes = watch::Sender::new(0);
        let sender = changes.clone();
        let watcher = notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
            if event.is_ok_and(|event| is_relevant(&event)) {
                sender.send_modify(|count| *count += 1);
            }
        });
        if let Err(error) = &watcher {
            warn!(target: "lockcroft::table_files", "file events are unavailable, detecting changes by polling only: {error}");
        }
        let watcher = watcher.ok().map(|watcher| WatchedFolders { watcher, folders: Vec::new() });
        SharedWatcher { folder: folder.into(), changes, watcher: Mutex::new(watcher) }
    }

    /// Watches the folders in which new snapshots may appear at present. Returns true if the set of watched
    /// folders changed.
    fn update_watched_folders(&self) -> bool {
        let mut watcher = self.watcher.lock().unwrap_or_else(PoisonError::into_inner);
        watcher.as_mut().is_some_and(|watched| watched.update(folders_to_watch(&self.folder)))
    }
}

impl WatchedFolders {
    /// Replaces the watched folders by these. Returns true if the set of watched folders changed.
    fn update(&mut self, wanted: Vec<PathBuf>) -> bool {
        if wanted == self.folders {
            return false;
        }
        for folder in self.folders.iter().filter(|folder| !wanted.contains(folder)) {
            // Fails if the folder was deleted, which has removed its watch.
            let _ = self.watcher.unwatch(folder);
        }
        let mut watched = Vec::new();
        for folder in wanted {
            if self.folders.contains(&folder) || self.watch(&folder) {
                watched.push(folder);
            }
        }
        let changed = watched.len() != self.folders.len()
            || watched.iter().any(|folder| !self.folders.contains(folder));
        self.folders = watched;
        changed
    }

    /// Returns true if the folder is now watched.
    fn watch(&mut self, folder: &Path) -> bool {
        self.watcher.watch(folder, RecursiveMode::NonRecursive).is_ok()
    }
}

/// Returns true if another snapshot may have become current: the link `current` was replaced, or the folder
/// of an epoch was created. Other changes are internal to the writer.
fn is_relevant(event: &notify::Event) -> bool {
    let is_relevant_name = |path: &PathBuf| {
        let name = path.file_name().and_then(|name| name.to_str());
        name.is_some_and(|name| name == "current" || name.starts_with('e'))
    };
    !event.kind.is_access() && event.paths.iter().any(is_relevant_name)
}

/// Returns the folders in which a new snapshot may appear: the snapshot folder itself, and that of the latest
/// epoch if there is one.
fn folders_to_watch(folder: &Path) -> Vec<PathBuf> {
    let layout = StoreLayout::new(folder);
    let latest = layout.epochs().unwrap_or_default().first().map(|epoch| layout.epoch_directory(*epoch));
    std::iter::once(folder.to_path_buf()).chain(latest).collect()
}
