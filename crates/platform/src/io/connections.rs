//! Connections from proxies, collectors and anybody else: a task for each reads lines and writes what is due.
//! However one ends, what is owed at that instant is paid first: docs/platform.md lists the endings.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use lockcroft_runtime_api::LineBuffer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

use super::Shared;
use crate::connection_admission::Acceptance;
use crate::stream::ConnectionId;

/// A buffer that a long message grew is given back beyond this.
const KEEP: usize = 1 << 16;
/// More than this never waits for one connection: messages wait in the core, so these are answers that
/// nobody reads.
const UNREAD_MOST: usize = 1 << 18;
/// A last word is given so long to go out, and as long to be read; what comes meanwhile is read and dropped up
/// to so many bytes.
const LAST_WORD: Duration = Duration::from_millis(500);
const DROPPED_MOST: usize = 1 << 20;
/// After a connection that could not be taken for want of something.
const PAUSE: Duration = Duration::from_millis(20);

/// How the rest of the pilot reaches a connection's task.
#[derive(Default)]
pub struct Handle {
    due: RefCell<BytesMut>,
    ends: Cell<Option<End>>,
    last_call: Cell<bool>,
    /// Bytes that were taken off what is due and are not written yet.
    writing: Cell<usize>,
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
        // Asked before: one message may be longer.
        if due.len() > UNREAD_MOST {
            self.ends.set(Some(End::Now));
        }
        due.extend_from_slice(text.as_bytes());
        self.wake.notify_one();
    }

    pub fn end(&self, at_once: bool) {
        self.ends.set(Some(if at_once { End::Now } else { End::Soon }));
        self.wake.notify_one();
    }

    pub fn last_call(&self) {
        self.last_call.set(true);
        self.wake.notify_one();
    }

    /// Whether all that was to be written is out.
    pub fn is_idle(&self) -> bool {
        self.due.borrow().is_empty() && self.writing.get() == 0
    }
}

/// Takes connections for as long as the pilot runs.
pub async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        // Asked before a connection is taken, as one that is taken holds a descriptor.
        let acceptance = shared.controller.borrow().acceptance(shared.now());
        match acceptance {
            Acceptance::Accept => {}
            Acceptance::Evict(connection) => {
                let effect = shared.controller.borrow_mut().last_call(connection);
                shared.carry_out(vec![effect]);
                yield_now().await;
                continue;
            }
            Acceptance::Wait(wait) => {
                sleep(wait).await;
                continue;
            }
        }
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            // It went before it was taken: there may be others behind it.
            Err(fault) if gone(&fault) => continue,
            Err(_) => {
                sleep(PAUSE).await;
                continue;
            }
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
            shared.controller.borrow_mut().closed(connection);
            shared.act();
        });
    }
}

fn gone(fault: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted};
    matches!(fault.kind(), ConnectionAborted | ConnectionReset | Interrupted)
}

async fn tend(
    mut stream: TcpStream,
    connection: ConnectionId,
    handle: &Handle,
    shared: &Rc<Shared>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.split();
    let (mut inbox, mut out) = (LineBuffer::default(), BytesMut::new());
    let mut heard = false;
    loop {
        if out.is_empty() {
            out = handle.due.take();
        }
        handle.writing.set(out.len());
        match handle.ends.get() {
            Some(End::Now) => return Ok(()),
            Some(End::Soon) => return last_word(&mut reader, &mut writer, &out, heard, shared).await,
            None => {}
        }
        if handle.last_call.take() {
            read_what_came(&mut reader, &mut inbox, connection, shared).await?;
            shared.controller.borrow_mut().dismiss(connection);
            shared.act();
            continue;
        }
        if inbox.waiting().is_empty() && inbox.buffer().capacity() > KEEP {
            inbox = LineBuffer::default();
        }
        tokio::select! {
            read = reader.read_buf(inbox.buffer()) => {
                if read? == 0 {
                    return end_of_input(&inbox, &mut writer, out, connection, handle, shared).await;
                }
                heard = true;
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

/// The other end says no more. Its last line may lack its end; what is due it still gets, as it may have closed
/// its sending side only.
async fn end_of_input(
    inbox: &LineBuffer,
    writer: &mut WriteHalf<'_>,
    mut out: BytesMut,
    connection: ConnectionId,
    handle: &Handle,
    shared: &Rc<Shared>,
) -> io::Result<()> {
    if !inbox.waiting().is_empty() {
        shared.controller.borrow_mut().read(shared.now(), connection, inbox.waiting());
    }
    shared.controller.borrow_mut().ended(connection);
    shared.act();
    out.extend_from_slice(&handle.due.take());
    let _ = timeout(LAST_WORD, writer.write_all(&out)).await;
    Ok(())
}

/// Writes what is due, then ends. Bytes that lie unread at a close make a reset of it, which may take the last
/// word along: whoever has sent something is read on for a while, where descriptors allow.
async fn last_word(
    reader: &mut ReadHalf<'_>,
    writer: &mut WriteHalf<'_>,
    out: &[u8],
    heard: bool,
    shared: &Rc<Shared>,
) -> io::Result<()> {
    timeout(LAST_WORD, writer.write_all(out)).await??;
    writer.shutdown().await?;
    if heard && shared.controller.borrow().has_room() {
        let _ = timeout(LAST_WORD, drop_what_comes(reader)).await;
    }
    Ok(())
}

async fn drop_what_comes(reader: &mut ReadHalf<'_>) -> io::Result<()> {
    let (mut room, mut dropped) = (vec![0; 1 << 12], 0);
    while dropped < DROPPED_MOST {
        match reader.read(&mut room).await? {
            0 => break,
            read => dropped += read,
        }
    }
    Ok(())
}

/// What lies in the socket by now, without waiting for more.
async fn read_what_came(
    reader: &mut ReadHalf<'_>,
    inbox: &mut LineBuffer,
    connection: ConnectionId,
    shared: &Rc<Shared>,
) -> io::Result<()> {
    tokio::select! {
        biased;
        read = reader.read_buf(inbox.buffer()) => {
            read?;
            take_lines(inbox, connection, shared);
        }
        () = yield_now() => {}
    }
    Ok(())
}

/// Hands whole lines on; the rest stays. A line without end is nothing that can be read.
fn take_lines(inbox: &mut LineBuffer, connection: ConnectionId, shared: &Rc<Shared>) {
    let mut controller = shared.controller.borrow_mut();
    while inbox.next_line(|line| controller.read(shared.now(), connection, line)).is_some() {}
    if inbox.waiting().len() > controller.line_most(connection) {
        controller.reject(connection, "a message without end");
    }
    drop(controller);
    shared.act();
}
