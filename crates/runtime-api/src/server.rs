//! The server: runs a session on each accepted connection.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::address::{Listener, Stream};
use crate::byte_budget::ByteBudget;
use crate::command_handler::CommandHandler;
use crate::command_reader::{CommandReader, LineTooLong};
use crate::level::AccessLevel;
use crate::session::{Session, SessionState};

/// The maximum number of concurrent connections of a listener. Further ones are closed immediately.
pub const MAX_SESSIONS: usize = 256;

/// The maximum length of a response in bytes. The connection is closed instead of sending a longer one.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// The maximum length of all responses of a listener together that their clients have not read yet, in bytes.
pub const MAX_UNREAD_RESPONSE_BYTES: usize = 32 << 20;

/// The time limit for writing a response to a client that does not read it. The connection is closed afterwards.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The time after which a connection that sends nothing is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// The interval at which new output is sent to a connection that follows a command.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);

/// After an error, received bytes are discarded until the client closes the connection, up to these limits.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// The delay after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The data that all sessions of a listener share.
struct ListenerContext {
    level: AccessLevel,
    handler: Rc<RefCell<dyn CommandHandler>>,
    /// Called after each line of commands has been executed.
    on_line: Box<dyn Fn()>,
    /// The limit on responses that are being written, and their bytes.
    unread_responses: ByteBudget,
}

/// Accepts connections and runs a session of the given access level on each. Runs until the future is dropped, which
/// also closes the connections. `on_line` is called after each line of commands has been executed.
///
/// The handler is borrowed only while a line is executed or output is collected, never across an `await`, so that a
/// slow client does not block other users of the handler.
///
/// # Panics
/// If it is polled outside of a [`tokio::task::LocalSet`] and a connection is accepted.
pub async fn serve(
    listener: Listener,
    level: AccessLevel,
    handler: Rc<RefCell<dyn CommandHandler>>,
    on_line: impl Fn() + 'static,
) {
    let unread_responses = ByteBudget::new(MAX_UNREAD_RESPONSE_BYTES);
    let context = Rc::new(ListenerContext { level, handler, on_line: Box::new(on_line), unread_responses });
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
        let context = context.clone();
        sessions.spawn_local(async move {
            // An I/O error only ends the connection of this client.
            let _ = run_session(stream, &context).await;
        });
    }
}

/// Executes lines of commands until the client or the session closes the connection.
async fn run_session(mut stream: Box<dyn Stream>, context: &ListenerContext) -> io::Result<()> {
    let mut reader = CommandReader::default();
    let mut session = Session::new(context.level);
    loop {
        loop {
            let commands = match reader.next_line() {
                Ok(Some(commands)) => commands,
                Ok(None) => break,
                Err(error) => return close_with_error(stream, &error).await,
            };
            let mut out = String::new();
            let state = session.execute_line(&commands, &mut *context.handler.borrow_mut(), &mut out);
            (context.on_line)();
            write_response(&mut stream, &out, &context.unread_responses).await?;
            match state {
                SessionState::Stay => {}
                SessionState::Close => return stream.shutdown().await,
                SessionState::Follow(position) => return follow(stream, context, position).await,
            }
        }
        if read(&mut stream, &mut reader).await? == 0 {
            return Ok(());
        }
    }
}

/// Sends an error as the response to a line that is too long, and closes the connection. Closing a socket with unread
/// bytes resets the connection, which may discard the response before the client reads it. Received bytes are therefore
/// read and discarded until the client closes the connection, for at most 500 ms and 1 MiB.
///
/// # Errors
/// Writing the response or shutting down the connection failed.
pub async fn close_with_error(mut stream: Box<dyn Stream>, error: &LineTooLong) -> io::Result<()> {
    write(&mut stream, &format!("{error}\n\n")).await?;
    stream.shutdown().await?;
    // The connection is closed regardless of the result.
    let _ = timeout(CLOSE_TIMEOUT, discard_received(&mut stream)).await;
    Ok(())
}

async fn discard_received(stream: &mut Box<dyn Stream>) -> io::Result<()> {
    let mut discarded = 0;
    let mut buffer = [0; 4096];
    while discarded < MAX_DISCARDED_BYTES {
        match stream.read(&mut buffer).await? {
            0 => break,
            read => discarded += read,
        }
    }
    Ok(())
}

/// Sends new output periodically until the client sends anything or closes the connection, like `show events -w` in
/// HAProxy.
async fn follow(mut stream: Box<dyn Stream>, context: &ListenerContext, mut position: u64) -> io::Result<()> {
    let mut ignored_input = [0; 256];
    loop {
        let output = context.handler.borrow_mut().read_since(&mut position);
        write_response(&mut stream, &output, &context.unread_responses).await?;
        if let Ok(read) = timeout(FOLLOW_INTERVAL, stream.read(&mut ignored_input)).await {
            return read.map(|_| ());
        }
    }
}

/// Reads once and returns the number of bytes: 0 if the client has closed the connection. Fails after [`IDLE_TIMEOUT`].
async fn read(stream: &mut Box<dyn Stream>, reader: &mut CommandReader) -> io::Result<usize> {
    timeout(IDLE_TIMEOUT, stream.read_buf(reader.buffer())).await?
}

/// Writes a response, whose bytes count towards the budget until the client has read it. If the budget has too few
/// left, the client gets the error instead.
///
/// # Errors
/// The response is longer than [`MAX_RESPONSE_BYTES`] or the budget allows, or the client did not read it within 10 s.
/// The connection has to be closed.
pub async fn write_response(
    stream: &mut Box<dyn Stream>,
    text: &str,
    unread_responses: &ByteBudget,
) -> io::Result<()> {
    if text.len() > MAX_RESPONSE_BYTES {
        return Err(io::Error::from(io::ErrorKind::OutOfMemory));
    }
    let mut reservation = unread_responses.reservation();
    if let Err(error) = reservation.try_resize(text.len()) {
        write(stream, &format!("{error}\n\n")).await?;
        return Err(io::Error::other(error));
    }
    write(stream, text).await
}

/// Writes the text. Fails after [`WRITE_TIMEOUT`].
async fn write(stream: &mut Box<dyn Stream>, text: &str) -> io::Result<()> {
    timeout(WRITE_TIMEOUT, stream.write_all(text.as_bytes())).await?
}
