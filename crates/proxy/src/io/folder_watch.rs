//! Tells of changes in a snapshot folder: by the system's file events, and by a timeout where they fail.
//! Proxies of one process that follow the same folder share one watcher, as the system's number is limited.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;

use lockcroft_table_store::StoreLayout;
use notify::{RecommendedWatcher, RecursiveMode, Watcher};
use tokio::sync::watch;
use tracing::warn;

/// One proxy's view on the changes in a folder.
pub struct FolderWatch {
    shared: Arc<SharedWatcher>,
    changes: watch::Receiver<u64>,
}

impl FolderWatch {
    /// Shares the watcher of a folder, or starts one.
    pub fn new(folder: &Path) -> Self {
        let shared = SharedWatcher::of(folder);
        FolderWatch { changes: shared.changes.subscribe(), shared }
    }

    /// Waits until something changed, at most for `timeout`.
    pub async fn changed(&mut self, timeout: Duration) {
        if self.shared.cover() {
            // What happened before the new folder was watched is seen by reading once more at once.
            return;
        }
        // A timeout and an event both mean that the folder should be read.
        let _ = tokio::time::timeout(timeout, self.changes.changed()).await;
    }
}

/// The watcher of one folder.
struct SharedWatcher {
    folder: PathBuf,
    /// Counts the events that matter.
    changes: watch::Sender<u64>,
    /// `None` where the system gives no events.
    watcher: Mutex<Option<CoveredFolders>>,
}

/// The system's watcher, and the folders that it watches.
struct CoveredFolders {
    watcher: RecommendedWatcher,
    folders: Vec<PathBuf>,
}

type Registry = BTreeMap<PathBuf, Weak<SharedWatcher>>;

/// The watchers of the process that are in use.
fn registry() -> MutexGuard<'static, Registry> {
    static REGISTRY: OnceLock<Mutex<Registry>> = OnceLock::new();
    REGISTRY.get_or_init(Mutex::default).lock().unwrap_or_else(PoisonError::into_inner)
}

impl SharedWatcher {
    fn of(folder: &Path) -> Arc<Self> {
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
            warn!(target: "lockcroft::table_files", "no file events, changes are found by polling alone: {error}");
        }
        let watcher = watcher.ok().map(|watcher| CoveredFolders { watcher, folders: Vec::new() });
        SharedWatcher { folder: folder.into(), changes, watcher: Mutex::new(watcher) }
    }

    /// Watches the folders in which something new may appear by now; whether one was added.
    fn cover(&self) -> bool {
        let mut watcher = self.watcher.lock().unwrap_or_else(PoisonError::into_inner);
        watcher.as_mut().is_some_and(|covered| covered.update(folders_to_watch(&self.folder)))
    }
}

impl CoveredFolders {
    /// Watches these folders in place of those watched so far; whether one was added.
    fn update(&mut self, wanted: Vec<PathBuf>) -> bool {
        if wanted == self.folders {
            return false;
        }
        for folder in self.folders.iter().filter(|folder| !wanted.contains(folder)) {
            // The folder may be gone, and its watch with it.
            let _ = self.watcher.unwatch(folder);
        }
        let mut covered = Vec::new();
        for folder in wanted {
            if self.folders.contains(&folder) || self.watch(&folder) {
                covered.push(folder);
            }
        }
        let changed = covered.len() != self.folders.len()
            || covered.iter().any(|folder| !self.folders.contains(folder));
        self.folders = covered;
        changed
    }

    fn watch(&mut self, folder: &Path) -> bool {
        self.watcher.watch(folder, RecursiveMode::NonRecursive).is_ok()
    }
}

/// Whether another snapshot may be current: a link was swapped, or an epoch begun. Everything else in the
/// folder is the writer's own affair.
fn is_relevant(event: &notify::Event) -> bool {
    let is_relevant_name = |path: &PathBuf| {
        let name = path.file_name().and_then(|name| name.to_str());
        name.is_some_and(|name| name == "current" || name.starts_with('e'))
    };
    !event.kind.is_access() && event.paths.iter().any(is_relevant_name)
}

/// The folders in which something new may appear: that of all epochs, and that of the latest epoch.
fn folders_to_watch(folder: &Path) -> Vec<PathBuf> {
    let layout = StoreLayout::new(folder);
    let latest = layout.epochs().unwrap_or_default().first().map(|epoch| layout.epoch_directory(*epoch));
    std::iter::once(folder.to_path_buf()).chain(latest).collect()
}
