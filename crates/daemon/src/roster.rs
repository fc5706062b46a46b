//! Looks at the roster file, and reads it again when it changed.

use std::fs::Metadata;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use lockcroft_config::EndpointListConfig;
use lockcroft_host::NameIndex;
use tokio::sync::Notify;

use crate::{Event, Told, complain};

/// A file that is wrong is complained of once, and the list before it stands.
pub async fn watch(
    path: PathBuf,
    every: Duration,
    places: NameIndex,
    weight_most: f64,
    reread: Rc<Notify>,
    told: Told,
) {
    let mut last = None;
    let mut asked = true;
    loop {
        let looks = std::fs::metadata(&path).ok().as_ref().map(mark);
        if asked || looks != last {
            last = looks;
            match EndpointListConfig::open(&path, &places, weight_most) {
                Ok(roster) => {
                    if told.send(Event::Listed(roster)).await.is_err() {
                        return;
                    }
                }
                Err(faults) => complain(&format!("the list stays as it was: {faults}")),
            }
        }
        asked = tokio::select! {
            () = tokio::time::sleep(every) => false,
            () = reread.notified() => true,
        };
    }
}

fn mark(file: &Metadata) -> (u64, i64, i64, u64) {
    (file.ino(), file.mtime(), file.mtime_nsec(), file.len())
}
