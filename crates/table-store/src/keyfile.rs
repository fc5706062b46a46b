//! Key files: for their owner's eyes alone.

use std::fs::File;
use std::io::Read;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

use lockcroft_table_format::KeyRing;

/// Bytes of a key file at most.
const MOST: u64 = 64 << 10;
/// Nothing for the group and others.
const OTHERS: u32 = 0o077;

/// # Errors
/// File, what is wrong and what is allowed: not there, open to others, or no keys.
pub fn read_keys(path: &Path) -> Result<KeyRing, String> {
    let wrong = |wrong: String| format!("{}: {wrong}", path.display());
    let mut file = File::open(path).map_err(|e| wrong(e.to_string()))?;
    // Of the file that is open, so that nobody swaps it in between.
    let about = file.metadata().map_err(|e| wrong(e.to_string()))?;
    if !about.is_file() || about.len() > MOST {
        return Err(wrong(format!("no file of {MOST} bytes at most")));
    }
    if about.mode() & OTHERS != 0 {
        let mode = about.mode() & 0o777;
        return Err(wrong(format!("others may use it (mode {mode:03o}); 600 or 400 is allowed")));
    }
    let mut text = String::new();
    file.read_to_string(&mut text).map_err(|e| wrong(e.to_string()))?;
    KeyRing::read(&text).map_err(wrong)
}
