//! What proxies write back: a small file each, swapped whole.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

use lockcroft_tablefile::proto::Status;
use lockcroft_tablefile::read_status;

use crate::layout::Layout;
use crate::reader::read_most;

/// Bytes of a status at most.
const MOST: u64 = 64 << 10;
/// A proxy's name may have at most so many bytes, and none that leaves the folder.
const NAME_MOST: usize = 128;

fn is_name(name: &str) -> bool {
    let sign = |sign: char| sign.is_ascii_alphanumeric() || "-_.".contains(sign);
    (1..=NAME_MOST).contains(&name.len()) && name.chars().all(sign) && !name.starts_with('.')
}

/// Writes a proxy's status beside the last and swaps it in. It is no loss if the machine dies with it: the proxy
/// reads its tables anew then.
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
    let own = Layout::new(folder).status();
    let (place, new) = (own.join(&status.proxy), own.join(format!(".{}.new", status.proxy)));
    let bytes = lockcroft_tablefile::write_status(status);
    let write = || fs::write(&new, &bytes).and_then(|()| fs::rename(&new, &place));
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
pub struct Statuses {
    marks: BTreeMap<String, (u64, i64, i64)>,
}

impl Statuses {
    /// Statuses that changed, by proxy; what is no status is left out until it changes.
    ///
    /// # Errors
    /// The folder can't be read; there being none yet is no error.
    pub fn look(&mut self, folder: &Path) -> io::Result<Vec<Status>> {
        let own = Layout::new(folder).status();
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
            if self.marks.insert(name.clone(), mark) == Some(mark) {
                continue;
            }
            let read = read_most(&entry.path(), MOST).ok().and_then(|bytes| read_status(&bytes).ok());
            changed.extend(read.filter(|status| status.proxy == name));
        }
        changed.sort_by(|a, b| a.proxy.cmp(&b.proxy));
        Ok(changed)
    }

    /// The status of one proxy, as it stands.
    pub fn of(folder: &Path, proxy: &str) -> Option<Status> {
        let path = Layout::new(folder).status().join(proxy);
        read_status(&read_most(&path, MOST).ok()?)
            .ok()
            .filter(|status| is_name(proxy) && status.proxy == proxy)
    }
}
