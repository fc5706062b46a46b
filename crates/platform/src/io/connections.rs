//! Connections from proxies, collectors and anybody else: a task for each reads lines and writes what is due.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use lockcroft_runtime::Lines;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::Shared;
use crate::admission::Acceptance;
use crate::controller::Effect;
use crate::stream::ConnectionId;

/// A buffer that a long message grew is given back beyond this.
const KEEP: usize = 1 << 16;
/// More than this never waits for one connection: messages wait in the core, so these are answers that
/// nobody reads.
const UNREAD_MOST: usize = 1 << 18;
/// A last word is given so long to go out.
const LAST_WORD: Duration = Duration::from_millis(500);
/// After a connection that could not be taken.
const PAUSE: Duration = Duration::from_millis(20);

/// How the rest of the pilot reaches a connection's task.
#[derive(Default)]
pub struct Handle {
    due: RefCell<BytesMut>,
    ends: Cell<Option<End>>,
    wake: Notify,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    /// After what is due.
    Soon,
    Now,
}

impl Handle {
    pub fn write(&self, text: &str) {
        let mut due = self.due.borrow_mut();
        due.extend_from_slice(text.as_bytes());
        if due.len() > UNREAD_MOST {
            self.ends.set(Some(End::Now));
        }
        self.wake.notify_one();
    }

    pub fn end(&self, at_once: bool) {
        self.ends.set(Some(if at_once { End::Now } else { End::Soon }));
        self.wake.notify_one();
    }
}

/// Takes connections for as long as the pilot runs.
pub async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        // Asked before a connection is taken, as one that is taken holds a descriptor.
        let acceptance = shared.controller.borrow().acceptance(shared.now());
        match acceptance {
            Acceptance::Accept => {}
            Acceptance::Evict(unjoined) => {
                shared.controller.borrow_mut().ended(unjoined);
                shared.carry_out(vec![Effect::Drop { connection: unjoined }]);
                // Its task gives the descriptor back.
                tokio::task::yield_now().await;
            }
            Acceptance::Wait(wait) => {
                sleep(wait).await;
                continue;
            }
        }
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        let connection = shared.last.get() + 1;
        shared.last.set(connection);
        let handle = Rc::new(Handle::default());
        shared.handles.borrow_mut().insert(connection, handle.clone());
        shared.controller.borrow_mut().accepted(shared.now(), connection);
        shared.news.notify_one();
        let shared = shared.clone();
        spawn_local(async move {
            // Whatever ended it, the other end has left.
            let _ = tend(stream, connection, &handle, &shared).await;
            shared.handles.borrow_mut().remove(&connection);
            shared.controller.borrow_mut().ended(connection);
            shared.act();
        });
    }
}

async fn tend(
    mut stream: TcpStream,
    connection: ConnectionId,
    handle: &Handle,
    shared: &Rc<Shared>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.split();
    let (mut inbox, mut out) = (Lines::default(), BytesMut::new());
    loop {
        if out.is_empty() {
            out = handle.due.take();
        }
        match handle.ends.get() {
            Some(End::Now) => return Ok(()),
            Some(End::Soon) => {
                let _ = timeout(LAST_WORD, writer.write_all(&out)).await;
                return Ok(());
            }
            None => {}
        }
        if inbox.waiting().is_empty() && inbox.buffer().capacity() > KEEP {
            inbox = Lines::default();
        }
        tokio::select! {
            read = reader.read_buf(inbox.buffer()) => {
                if read? == 0 {
                    return Ok(());
                }
                take_lines(&mut inbox, connection, shared);
            }
            wrote = writer.write(&out), if !out.is_empty() => {
                out.advance(wrote?);
                if out.is_empty() && handle.due.borrow().is_empty() {
                    shared.controller.borrow_mut().written(connection);
                    shared.news.notify_one();
                }
            }
            () = handle.wake.notified() => {}
        }
    }
}

/// Hands whole lines on; the rest stays. A line without end is nothing that can be read.
fn take_lines(inbox: &mut Lines, connection: ConnectionId, shared: &Rc<Shared>) {
    let mut controller = shared.controller.borrow_mut();
    while inbox.next_line(|line| controller.read(shared.now(), connection, line)).is_some() {}
    if inbox.waiting().len() > controller.line_most(connection) {
        controller.reject(connection, "a message without end");
    }
    drop(controller);
    shared.act();
}
