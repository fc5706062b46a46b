//! Sessions on sockets.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::address::{Listener, Stream};
use crate::command_handler::CommandHandler;
use crate::command_reader::{CommandReader, LineTooLong};
use crate::level::AccessLevel;
use crate::session::{Session, SessionState};

/// Connections at a time; more are closed at once.
pub const MAX_SESSIONS: usize = 256;

/// Longest answer in bytes; a longer one is cut off with its connection.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A client that doesn't read its answer for this long loses its connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection without a command for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// How often a connection that follows is sent what there is.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);

/// How long the other end may take to close once its line was rejected, and the most bytes that are dropped then.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_DROPPED_BYTES: usize = 1 << 20;

/// Pause after a failed accept, as when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What all sessions of a listener share.
struct Shared {
    level: AccessLevel,
    handler: Rc<RefCell<dyn CommandHandler>>,
    /// Called after each line of commands.
    on_line: Box<dyn Fn()>,
}

/// Accepts connections of one level until dropped, and ends them then. The handler is not borrowed while a
/// session waits, so that no client keeps another, or the controller, waiting. `on_line` is called after each
/// line of commands.
///
/// Must be polled within a [`tokio::task::LocalSet`].
pub async fn serve(
    listener: Listener,
    level: AccessLevel,
    handler: Rc<RefCell<dyn CommandHandler>>,
    on_line: impl Fn() + 'static,
) {
    let shared = Rc::new(Shared { level, handler, on_line: Box::new(on_line) });
    let mut sessions = JoinSet::new();
    loop {
        let Ok(stream) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        while sessions.try_join_next().is_some() {}
        if sessions.len() >= MAX_SESSIONS {
            continue;
        }
        let shared = shared.clone();
        sessions.spawn_local(async move {
            // A broken connection concerns its client alone.
            let _ = converse(stream, &shared).await;
        });
    }
}

async fn converse(mut stream: Box<dyn Stream>, shared: &Shared) -> io::Result<()> {
    let mut reader = CommandReader::default();
    let mut session = Session::new(shared.level);
    loop {
        loop {
            let commands = match reader.next_line() {
                Ok(Some(commands)) => commands,
                Ok(None) => break,
                Err(error) => return close_with_error(stream, &error).await,
            };
            let mut out = String::new();
            let state = session.execute_line(&commands, &mut *shared.handler.borrow_mut(), &mut out);
            (shared.on_line)();
            write(&mut stream, &out).await?;
            match state {
                SessionState::Stay => {}
                SessionState::Close => return stream.shutdown().await,
                SessionState::Follow(position) => return follow(stream, shared, position).await,
            }
        }
        if read(&mut stream, &mut reader).await? == 0 {
            return Ok(());
        }
    }
}

/// Answers a line that can't be read, and closes the connection. Bytes that lie unread at a close make a reset of it,
/// which may take the answer along: they are read and dropped for a while.
///
/// # Errors
/// The connection broke.
pub async fn close_with_error(mut stream: Box<dyn Stream>, error: &LineTooLong) -> io::Result<()> {
    write(&mut stream, &format!("{error}\n\n")).await?;
    stream.shutdown().await?;
    // It is closed in any case.
    let _ = timeout(CLOSE_TIMEOUT, drop_what_comes(&mut stream)).await;
    Ok(())
}

async fn drop_what_comes(stream: &mut Box<dyn Stream>) -> io::Result<()> {
    let mut dropped = 0;
    let mut buffer = [0; 4096];
    while dropped < MAX_DROPPED_BYTES {
        match stream.read(&mut buffer).await? {
            0 => break,
            read => dropped += read,
        }
    }
    Ok(())
}

/// Sends what there is to follow until the client sends anything or closes, as HAProxy's `show events -w`.
async fn follow(mut stream: Box<dyn Stream>, shared: &Shared, mut position: u64) -> io::Result<()> {
    let mut ignored = [0; 256];
    loop {
        let more = shared.handler.borrow_mut().read_since(&mut position);
        write(&mut stream, &more).await?;
        if let Ok(read) = timeout(FOLLOW_INTERVAL, stream.read(&mut ignored)).await {
            return read.map(|_| ());
        }
    }
}

/// Reads once; 0 if the client closed.
async fn read(stream: &mut Box<dyn Stream>, reader: &mut CommandReader) -> io::Result<usize> {
    timeout(IDLE_TIMEOUT, stream.read_buf(reader.buffer())).await?
}

async fn write(stream: &mut Box<dyn Stream>, text: &str) -> io::Result<()> {
    if text.len() > MAX_RESPONSE_BYTES {
        return Err(io::Error::from(io::ErrorKind::OutOfMemory));
    }
    timeout(WRITE_TIMEOUT, stream.write_all(text.as_bytes())).await?
}
