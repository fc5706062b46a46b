//! Whole lines out of bytes that come in any pieces.

use bytes::BytesMut;

/// Takes the next whole line out, without its end; what is left waits for more bytes.
pub fn next(inbox: &mut BytesMut) -> Option<BytesMut> {
    let end = inbox.iter().position(|byte| *byte == b'\n')?;
    let mut line = inbox.split_to(end + 1);
    line.truncate(end);
    if line.last() == Some(&b'\r') {
        line.truncate(end - 1);
    }
    Some(line)
}
