//! Control connections, on which controllers and operators send commands of the runtime API.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use lockcroft_runtime_api::{
    AccessLevel, Command, CommandReader, Listener, SessionState, Stream, close_with_error, write_response,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::worker::Worker;
use crate::control_session::ControlSession;

/// A command about latencies rather than tables. It is recognized only if it is the only command of its line.
const SHOW_LATENCIES: &str = "show times";

/// Delay after a failed accept, such as one for lack of free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts control connections until this future is dropped. Open connections are served until the worker is
/// stopped, also if this future is dropped.
pub async fn accept_connections(listener: Listener, worker: Rc<Worker>) {
    loop {
        let Ok(stream) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let worker = worker.clone();
        spawn_local(async move {
            tokio::select! {
                // A broken connection affects its client alone; an incomplete line received on it is
                // discarded.
                _ = serve_connection(stream, &worker) => {}
                () = worker.wait_until_stopped() => {}
            }
        });
    }
}

/// Executes the lines received on a connection and sends the answers, until the client or a command closes
/// it.
async fn serve_connection(mut stream: Box<dyn Stream>, worker: &Worker) -> io::Result<()> {
    let mut reader = CommandReader::default();
    let mut session = ControlSession::new(AccessLevel::Admin);
    loop {
        loop {
            let commands = match reader.next_line() {
                Ok(Some(commands)) => commands,
                Ok(None) => break,
                Err(error) => return close_with_error(stream, &error).await,
            };
            worker.inject_stall(&commands);
            let mut out = String::new();
            let session_state = execute_line(commands, &mut session, worker, &mut out).await;
            write_response(&mut stream, &out, &worker.unread_responses).await?;
            worker.capacity_changed.notify_waiters();
            if session_state == SessionState::Close {
                return stream.shutdown().await;
            }
        }
        if stream.read_buf(reader.buffer()).await? == 0 {
            return Ok(());
        }
    }
}

async fn execute_line(
    commands: Vec<Command>,
    session: &mut ControlSession,
    worker: &Worker,
    out: &mut String,
) -> SessionState {
    if let [command] = &commands[..]
        && command.joined_words() == SHOW_LATENCIES
    {
        out.push_str(&worker.latencies.borrow().answer_text());
        return session.end_line(out);
    }
    worker.execute(commands, session, out).await
}
