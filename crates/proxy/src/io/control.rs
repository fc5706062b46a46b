//! Control sockets: orders in, answers out.

use std::io;
use std::rc::Rc;

use lockcroft_runtime::{After, Feed, Level, Listener, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

use super::running::Core;
use crate::orders::{Orders, changes};

pub async fn listen(listener: Listener, core: Rc<Core>) {
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

async fn converse(mut stream: Box<dyn Stream>, core: &Core) -> io::Result<()> {
    let (mut feed, mut orders) = (Feed::default(), Orders::new(Level::Admin));
    loop {
        while let Some(commands) =
            feed.next_line().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?
        {
            let stall =
                core.post.stall_a_line * commands.iter().filter(|command| changes(command)).count() as u32;
            if !stall.is_zero() {
                // Laying tables keeps such a proxy from everything else.
                std::thread::sleep(stall);
            }
            let mut out = String::new();
            let after = match core.own(&commands) {
                Some(said) => {
                    out = said;
                    After::Stay
                }
                None => orders.line(&commands, &mut core.held(), &mut out),
            };
            tracing::debug!(target: "lockcroft::orders", commands = commands.len(), "line");
            stream.write_all(out.as_bytes()).await?;
            core.room.notify_waiters();
            if after == After::Close {
                return stream.shutdown().await;
            }
        }
        if stream.read_buf(feed.buffer()).await? == 0 {
            return Ok(());
        }
    }
}
