//! Control sockets: orders in, answers out.

use std::io;
use std::rc::Rc;

use lockcroft_runtime_api::{Command, CommandReader, Level, Listener, SessionState, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

use super::running::Worker;
use crate::orders::{CommandQueue, changes};

pub async fn listen(listener: Listener, core: Rc<Worker>) {
    while let Ok(stream) = listener.accept().await {
        let core = core.clone();
        // A broken connection concerns its pilot alone; what came of its line in part is dropped with it.
        spawn_local(async move {
            tokio::select! {
                _ = converse(stream, &core) => {}
                () = core.end() => {}
            }
        });
    }
}

async fn converse(mut stream: Box<dyn Stream>, core: &Worker) -> io::Result<()> {
    let (mut feed, mut orders) = (CommandReader::default(), CommandQueue::new(Level::Admin));
    loop {
        while let Some(commands) =
            feed.next_line().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?
        {
            core.stall(&commands);
            let mut out = String::new();
            let after = match core.own(&commands) {
                Some(said) => {
                    out = said;
                    SessionState::Stay
                }
                None => carry_out(commands, &mut orders, core, &mut out).await,
            };
            stream.write_all(out.as_bytes()).await?;
            core.room.notify_waiters();
            if after == SessionState::Close {
                return stream.shutdown().await;
            }
        }
        if stream.read_buf(feed.buffer()).await? == 0 {
            return Ok(());
        }
    }
}

/// Visits have their turn between the pieces of a set; other sets wait until this one is through.
pub async fn carry_out(
    commands: Vec<Command>,
    orders: &mut CommandQueue,
    core: &Worker,
    out: &mut String,
) -> SessionState {
    let count = commands.len();
    let _alone = if commands.iter().any(changes) { Some(core.laying.lock().await) } else { None };
    let mut laying = orders.begin(commands, &core.held());
    while !orders.step(&mut laying) {
        tokio::task::yield_now().await;
    }
    let after = orders.finish(laying, &mut core.held(), out);
    tracing::debug!(target: "lockcroft::command", commands = count, "line");
    after
}
