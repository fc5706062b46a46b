//! Control connections: commands in, answers out.

use std::io;
use std::rc::Rc;

use lockcroft_runtime_api::{
    AccessLevel, Command, CommandReader, Listener, SessionState, Stream, close_with_error,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

use super::worker::Worker;
use crate::control_session::ControlSession;

/// A command about latencies rather than tables, known only where it stands alone on its line.
const SHOW_LATENCIES: &str = "show times";

/// Accepts control connections until a socket fails. Their tasks end with the worker.
pub async fn accept_connections(listener: Listener, worker: Rc<Worker>) {
    while let Ok(stream) = listener.accept().await {
        let worker = worker.clone();
        spawn_local(async move {
            tokio::select! {
                // A broken connection concerns its controller alone; an incomplete line is dropped with it.
                _ = converse(stream, &worker) => {}
                () = worker.stopped() => {}
            }
        });
    }
}

async fn converse(mut stream: Box<dyn Stream>, worker: &Worker) -> io::Result<()> {
    let mut reader = CommandReader::default();
    let mut queue = ControlSession::new(AccessLevel::Admin);
    loop {
        loop {
            let commands = match reader.next_line() {
                Ok(Some(commands)) => commands,
                Ok(None) => break,
                Err(error) => return close_with_error(stream, &error).await,
            };
            worker.stall(&commands);
            let mut out = String::new();
            let session_state = execute(commands, &mut queue, worker, &mut out).await;
            stream.write_all(out.as_bytes()).await?;
            worker.capacity.notify_waiters();
            if session_state == SessionState::Close {
                return stream.shutdown().await;
            }
        }
        if stream.read_buf(reader.buffer()).await? == 0 {
            return Ok(());
        }
    }
}

async fn execute(
    commands: Vec<Command>,
    queue: &mut ControlSession,
    worker: &Worker,
    out: &mut String,
) -> SessionState {
    if let [command] = &commands[..]
        && command.joined_words() == SHOW_LATENCIES
    {
        out.push_str(&worker.latencies.borrow().show());
        return queue.end_line(out);
    }
    worker.execute(commands, queue, out).await
}
