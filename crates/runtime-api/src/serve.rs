//! Sessions on sockets, and a client for one question.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

use crate::address::{Address, Listener, Stream, dial};
use crate::command_reader::CommandReader;
use crate::session::{CommandHandler, Level, Session, SessionState};

/// So many connections at a time; more are closed at once.
pub const MAX_SESSIONS: usize = 256;
/// An answer that a reader leaves for so long is given up with its connection.
const UNREAD_MOST: Duration = Duration::from_secs(10);
/// A connection without a command for so long ends.
const SILENT_MOST: Duration = Duration::from_secs(600);
/// So often is it seen whether there is more to follow.
const FOLLOW: Duration = Duration::from_millis(100);
/// What may wait for one reader, in bytes; a longer answer is cut off with its connection.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Accepts connections at one level until dropped. A desk is never held across a wait, so that
/// no reader keeps another, or the decisions, waiting.
pub async fn serve(
    listener: Listener,
    level: Level,
    desk: Rc<RefCell<dyn CommandHandler>>,
    changed: impl Fn() + 'static,
) {
    let (open, changed) = (Rc::new(Cell::new(0_usize)), Rc::new(changed));
    loop {
        let Ok(stream) = listener.accept().await else {
            // Out of descriptors, say: give others time to end.
            tokio::time::sleep(FOLLOW).await;
            continue;
        };
        if open.get() >= MAX_SESSIONS {
            continue;
        }
        open.set(open.get() + 1);
        let (desk, open, changed) = (desk.clone(), open.clone(), changed.clone());
        tokio::task::spawn_local(async move {
            // A broken connection concerns its reader alone.
            let _ = converse(stream, level, &*desk, &*changed).await;
            open.set(open.get() - 1);
        });
    }
}

async fn converse(
    mut stream: Box<dyn Stream>,
    level: Level,
    desk: &RefCell<dyn CommandHandler>,
    changed: &dyn Fn(),
) -> io::Result<()> {
    let (mut feed, mut session) = (CommandReader::default(), Session::new(level));
    loop {
        loop {
            let commands = match feed.next_line() {
                Ok(Some(commands)) => commands,
                Ok(None) => break,
                Err(_) => return write(&mut stream, "Line too long\n\n").await,
            };
            let mut out = String::new();
            let after = session.line(&commands, &mut *desk.borrow_mut(), &mut out);
            changed();
            write(&mut stream, &out).await?;
            match after {
                SessionState::Stay => {}
                SessionState::Close => return stream.shutdown().await,
                SessionState::Follow(mark) => return follow(stream, desk, mark).await,
            }
        }
        let read = timeout(SILENT_MOST, stream.read_buf(feed.buffer())).await;
        if read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? == 0 {
            return Ok(());
        }
    }
}

async fn follow(
    mut stream: Box<dyn Stream>,
    desk: &RefCell<dyn CommandHandler>,
    mut mark: u64,
) -> io::Result<()> {
    let mut ignored = [0; 256];
    loop {
        let more = desk.borrow_mut().more(&mut mark);
        write(&mut stream, &more).await?;
        // Whatever the reader says ends it, as the guide has it for `show events -w`.
        if let Ok(read) = timeout(FOLLOW, stream.read(&mut ignored)).await {
            return read.map(|_| ());
        }
    }
}

async fn write(stream: &mut Box<dyn Stream>, text: &str) -> io::Result<()> {
    if text.len() > MAX_RESPONSE_BYTES {
        return Err(io::Error::from(io::ErrorKind::OutOfMemory));
    }
    let written = timeout(UNREAD_MOST, stream.write_all(text.as_bytes())).await;
    written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Why a question got no answer.
#[derive(Debug)]
pub enum RequestError {
    Unreachable(io::Error),
    Broken(io::Error),
    Late,
    TooLong,
}

impl fmt::Display for RequestError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RequestError::Unreachable(error) => write!(out, "cannot be reached: {error}"),
            RequestError::Broken(error) => write!(out, "the connection broke: {error}"),
            RequestError::Late => write!(out, "no whole answer in time"),
            RequestError::TooLong => write!(out, "the answer is longer than {MAX_RESPONSE_BYTES} bytes"),
        }
    }
}

impl std::error::Error for RequestError {}

/// Sends one line of commands and reads until the other end closes.
///
/// # Errors
/// The connection can't be made, breaks, or is not over within the given time.
pub async fn request(address: &Address, line: &str, within: Duration) -> Result<String, RequestError> {
    let talk = async {
        let mut stream = dial(address).await.map_err(RequestError::Unreachable)?;
        stream.write_all(format!("{line}\n").as_bytes()).await.map_err(RequestError::Broken)?;
        let mut text = Vec::new();
        while stream.read_buf(&mut text).await.map_err(RequestError::Broken)? > 0 {
            if text.len() > MAX_RESPONSE_BYTES {
                return Err(RequestError::TooLong);
            }
        }
        Ok(String::from_utf8_lossy(&text).into_owned())
    };
    timeout(within, talk).await.unwrap_or(Err(RequestError::Late))
}
