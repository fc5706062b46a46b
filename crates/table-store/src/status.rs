//! What proxies write back: a small file each, written over in place.

use std::collections::BTreeMap;
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::Duration;

use lockcroft_table_format::proto::Status;
use lockcroft_table_format::read_status;

use crate::layout::StoreLayout;
use crate::reader::read_most;

/// Bytes of a status at most.
const MOST: u64 = 64 << 10;
/// Longer than a tick of any file system's clock.
const TICK: Duration = Duration::from_millis(50);
/// A proxy's name may have at most so many bytes, and none that leaves the folder.
const NAME_MOST: usize = 128;

fn is_name(name: &str) -> bool {
    let sign = |sign: char| sign.is_ascii_alphanumeric() || "-_.".contains(sign);
    (1..=NAME_MOST).contains(&name.len()) && name.chars().all(sign) && !name.starts_with('.')
}

/// Writes a proxy's status over the last. It is no loss if the machine dies with it: the proxy reads its tables anew then.
///
/// # Errors
/// As the file system says, or the name is none for a file.
pub fn write_status(folder: &Path, status: &Status) -> io::Result<()> {
    if !is_name(&status.proxy) {
        let wrong = format!(
            "proxy {:?}: a name of letters, digits, dashes, dots and underlines is wanted",
            status.proxy
        );
        return Err(io::Error::new(io::ErrorKind::InvalidInput, wrong));
    }
    let own = StoreLayout::new(folder).status();
    let place = own.join(&status.proxy);
    let bytes = lockcroft_table_format::write_status(status);
    let write = || -> io::Result<()> {
        // Not emptied before: it would be flushed with every write.
        let mut file = OpenOptions::new().write(true).create(true).truncate(false).open(&place)?;
        file.write_all(&bytes)?;
        if file.metadata()?.len() != bytes.len() as u64 {
            file.set_len(bytes.len() as u64)?;
        }
        Ok(())
    };
    match write() {
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            fs::create_dir_all(&own)?;
            write()
        }
        done => done,
    }
}

/// Reads the statuses of a folder's proxies, and only those that changed since the last look.
#[derive(Default)]
pub struct StatusReader {
    seen: BTreeMap<String, Seen>,
}

/// What a proxy's file said, and its mark, once that can be told from the next.
struct Seen {
    mark: Option<(u64, i64, i64)>,
    said: Status,
}

impl StatusReader {
    /// Statuses that changed, by proxy; what is no status is left out until it changes.
    ///
    /// # Errors
    /// The folder can't be read; there being none yet is no error.
    pub fn look(&mut self, folder: &Path) -> io::Result<Vec<Status>> {
        let own = StoreLayout::new(folder).status();
        let entries = match fs::read_dir(&own) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            entries => entries?,
        };
        let mut changed = Vec::new();
        for entry in entries {
            let entry = entry?;
            let Some(name) = entry.file_name().to_str().map(str::to_string).filter(|name| is_name(name))
            else {
                continue;
            };
            // It may have been swapped since the folder was read.
            let Ok(about) = entry.metadata() else { continue };
            let mark = (about.ino(), about.mtime(), about.mtime_nsec());
            if self.seen.get(&name).is_some_and(|seen| seen.mark == Some(mark)) {
                continue;
            }
            let read = read_most(&entry.path(), MOST).ok().and_then(|bytes| read_status(&bytes).ok());
            let Some(status) = read.filter(|status| status.proxy == name) else { continue };
            // Two writes within a tick of the file system's clock bear the same time.
            let settled = about.modified().ok().and_then(|at| at.elapsed().ok()).is_none_or(|age| age > TICK);
            let seen = Seen { mark: settled.then_some(mark), said: status.clone() };
            let before = self.seen.insert(name, seen);
            if before.is_none_or(|before| before.said != status) {
                changed.push(status);
            }
        }
        changed.sort_by(|a, b| a.proxy.cmp(&b.proxy));
        Ok(changed)
    }

    /// The status of one proxy, as it stands.
    pub fn of(folder: &Path, proxy: &str) -> Option<Status> {
        let path = StoreLayout::new(folder).status().join(proxy);
        read_status(&read_most(&path, MOST).ok()?)
            .ok()
            .filter(|status| is_name(proxy) && status.proxy == proxy)
    }
}
