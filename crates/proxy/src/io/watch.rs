//! Tells of changes in a folder by the system's file events, and by a slow look where they fail. Proxies of one process
//! that follow the same folder share one watcher, as the system has few.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, Weak};
use std::time::Duration;

use notify::{RecommendedWatcher, RecursiveMode, Watcher};
use tokio::sync::watch;
use tracing::warn;

use super::files::watched;

/// Whether something new may be current: a link was swapped, or an epoch taken. The rest is the writer's own affair.
fn tells(event: &notify::Event) -> bool {
    let name = |path: &PathBuf| path.file_name().and_then(|name| name.to_str()).map(str::to_string);
    let told = |name: String| name == "current" || name.starts_with('e');
    !event.kind.is_access() && event.paths.iter().filter_map(name).any(told)
}

/// A folder that somebody follows.
struct Shared {
    folder: PathBuf,
    changes: watch::Sender<u64>,
    /// None where the system gives no events: then looks alone tell.
    watcher: Mutex<Option<(RecommendedWatcher, Vec<PathBuf>)>>,
}

fn all() -> &'static Mutex<BTreeMap<PathBuf, Weak<Shared>>> {
    static ALL: OnceLock<Mutex<BTreeMap<PathBuf, Weak<Shared>>>> = OnceLock::new();
    ALL.get_or_init(Mutex::default)
}

/// One that waits for changes.
pub struct Watch {
    shared: Arc<Shared>,
    changes: watch::Receiver<u64>,
}

impl Watch {
    pub fn of(folder: &Path) -> Self {
        let mut all = all().lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|_, shared| shared.strong_count() > 0);
        let shared = all.get(folder).and_then(Weak::upgrade).unwrap_or_else(|| {
            let shared = Arc::new(Shared::new(folder));
            all.insert(folder.into(), Arc::downgrade(&shared));
            shared
        });
        Watch { changes: shared.changes.subscribe(), shared }
    }

    /// Until something changed, or for so long.
    pub async fn changed(&mut self, most: Duration) {
        if self.shared.cover() {
            // What happened before the watch on it stood is seen by looking once more.
            return;
        }
        let _ = tokio::time::timeout(most, self.changes.changed()).await;
    }
}

impl Shared {
    fn new(folder: &Path) -> Self {
        let changes = watch::Sender::new(0);
        let sender = changes.clone();
        let watcher = notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
            if event.is_ok_and(|event| tells(&event)) {
                sender.send_modify(|count| *count += 1);
            }
        });
        let watcher = watcher
            .inspect_err(
                |e| warn!(target: "lockcroft::table_files", "no file events, looks alone will tell: {e}"),
            )
            .ok();
        Shared {
            folder: folder.into(),
            changes,
            watcher: Mutex::new(watcher.map(|watcher| (watcher, Vec::new()))),
        }
    }

    /// Watches the folders in which something new may appear by now; whether there is a new one among them.
    fn cover(&self) -> bool {
        let mut watcher = self.watcher.lock().unwrap_or_else(PoisonError::into_inner);
        let Some((watcher, covered)) = &mut *watcher else { return false };
        let wanted = watched(&self.folder);
        if wanted == *covered {
            return false;
        }
        for folder in covered.iter().filter(|folder| !wanted.contains(folder)) {
            // It may be gone.
            let _ = watcher.unwatch(folder);
        }
        let before = covered.len();
        let mut now = Vec::new();
        for folder in wanted {
            if covered.contains(&folder) || watcher.watch(&folder, RecursiveMode::NonRecursive).is_ok() {
                now.push(folder);
            }
        }
        let news = now.len() != before || now.iter().any(|folder| !covered.contains(folder));
        *covered = now;
        news
    }
}
