//! Control connections, on which controllers and operators send commands of the runtime API.

use std::io;
use std::rc::Rc;

use lockcroft_runtime_api::{
    AccessLevel, Command, CommandReader, Listener, SessionState, Stream, close_with_error,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

use super::worker::Worker;
use crate::control_session::ControlSession;

/// A command about latencies rather than tables. It is recognized only if it is the only command of its line.
const SHOW_LATENCIES: &str = "show times";

/// Accepts control connections until accepting fails. Open connections are served until the worker is
/// stopped, also if this future is dropped.
pub async fn accept_connections(listener: Listener, worker: Rc<Worker>) {
    while let Ok(stream) = listener.accept().await {
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
            stream.write_all(out.as_bytes()).await?;
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
