//! Follows a folder of generations: each new one is read off the thread of the visits, laid like a set of orders, and
//! acknowledged by the proxy's own status file.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::SystemTime;

use lockcroft_runtime_api::Level;
use lockcroft_table_format::proto;
use lockcroft_table_store::{
    AppliedSnapshot, RejectedSnapshot, ScanResult, SnapshotReader, StatusReader, StoreLayout, read_keys,
    write_status,
};
use tracing::{info, warn};

use super::control::carry_out;
use super::running::Worker;
use super::watch::Watch;
use super::work::{Turn, off_thread};
use crate::files::FileCommands;
use crate::orders::CommandQueue;
use crate::post::TableFilesConfig;

/// So many sets stand in the status.
const LAID_MOST: usize = 32;

/// What goes off the thread with each look.
struct Followed {
    reader: SnapshotReader,
    terms: TableFilesConfig,
}

/// Until the proxy ends.
pub async fn follow(core: Rc<Worker>, terms: TableFilesConfig, reader: SnapshotReader) {
    let folder = terms.folder.clone();
    let mut watch = Watch::of(&folder);
    let mut status = proto::Status::of(&core.post.name);
    let (mut from, mut orders) = (FileCommands::default(), CommandQueue::new(Level::Admin));
    let mut followed = Followed { reader, terms };
    let mut complained = String::new();
    loop {
        let every = followed.terms.look_every;
        let (kept, looked) = off_thread(Turn::Read, move || {
            let looked = followed.look();
            (followed, looked)
        })
        .await;
        followed = kept;
        match looked {
            Ok(looked) => {
                complained.clear();
                let told = take(&core, looked, &mut from, &mut orders, &mut status).await;
                if told {
                    let (folder, status) = (folder.clone(), status.clone());
                    let written = off_thread(Turn::Tell, move || write_status(&folder, &status)).await;
                    // The pilot then believes what it believed before.
                    written.unwrap_or_else(|e| warn!(target: "lockcroft::table_files", "status: {e}"));
                }
            }
            Err(error) if complained != error.to_string() => {
                complained = error.to_string();
                warn!(target: "lockcroft::table_files", folder = %folder.display(), "what is held stands: {error}");
            }
            Err(_) => {}
        }
        watch.changed(every).await;
    }
}

/// The folder's reader, which goes on from what the proxy laid before it was started.
///
/// # Errors
/// The keys can't be read.
pub fn reader(name: &str, terms: &TableFilesConfig) -> io::Result<SnapshotReader> {
    let keys = read_keys(&terms.keys).map_err(io::Error::other)?;
    let laid = StatusReader::of(&terms.folder, name).and_then(|status| status.laid.last().cloned());
    Ok(SnapshotReader::new(&terms.folder, name, keys, laid.map(|laid| (laid.epoch, laid.version))))
}

impl Followed {
    fn look(&mut self) -> io::Result<ScanResult> {
        let looked = self.reader.look()?;
        // Keys may have been turned over: what they do not vouch for is looked at once more with those of now.
        if looked.refused.iter().any(|refused| refused.why.contains("no seal"))
            && let Ok(keys) = read_keys(&self.terms.keys)
        {
            self.reader.turn_over(keys);
            return self.reader.look();
        }
        Ok(looked)
    }
}

/// Whether there is news for the status.
async fn take(
    core: &Worker,
    looked: ScanResult,
    from: &mut FileCommands,
    orders: &mut CommandQueue,
    status: &mut proto::Status,
) -> bool {
    let mut told = false;
    for RejectedSnapshot { epoch, version, why } in looked.refused {
        let before = status.refused.as_ref();
        if before.is_none_or(|before| (before.epoch, before.version, &before.why) != (epoch, version, &why)) {
            warn!(target: "lockcroft::table_files", epoch, version, "refused: {why}");
            status.refused = Some((epoch, version, why).into()).into();
            told = true;
        }
    }
    for mine in &looked.lay {
        let set = lay(core, mine, from, orders).await;
        let (epoch, version, bound) = (mine.epoch, mine.version, !mine.bound.is_empty());
        info!(target: "lockcroft::table_files", epoch, version, set, bound, "laid");
        let at_ms = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis();
        let laid = proto::Laid { epoch, version, set, at_ms: at_ms as u64, bound, ..Default::default() };
        status.laid.push(laid);
        status.laid.drain(..status.laid.len().saturating_sub(LAID_MOST));
        // What was refused before something newer was laid is of yesterday.
        status.refused = status.refused.take().filter(|no| (no.epoch, no.version) > (epoch, version)).into();
        told = true;
    }
    told
}

/// The proxy's set that came of it; 0 if nothing changed.
async fn lay(
    core: &Worker,
    mine: &AppliedSnapshot,
    from: &mut FileCommands,
    orders: &mut CommandQueue,
) -> u64 {
    let commands = from.orders(&core.held(), mine);
    if commands.is_empty() {
        return 0;
    }
    let (before, mut out) = (core.held().version, String::new());
    core.stall(&commands);
    carry_out(commands, orders, core, &mut out).await;
    core.room.notify_waiters();
    let after = core.held().version;
    if after == before {
        warn!(target: "lockcroft::table_files", "not laid: {}", out.trim());
        return 0;
    }
    after
}

/// The folders in which something new may appear: that of all epochs, and the latest epoch's own.
pub fn watched(folder: &Path) -> Vec<PathBuf> {
    let layout = StoreLayout::new(folder);
    let latest = layout.epochs().unwrap_or_default().first().map(|epoch| layout.epoch(*epoch));
    std::iter::once(folder.to_path_buf()).chain(latest).collect()
}
