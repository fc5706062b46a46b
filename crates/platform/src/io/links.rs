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
use crate::berth::Link;
use crate::door::Knock;
use crate::station::Effect;

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
pub struct Hand {
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

impl Hand {
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
        let knock = shared.station.borrow().knock(shared.now());
        match knock {
            Knock::Enter => {}
            Knock::Instead(guest) => {
                shared.station.borrow_mut().ended(guest);
                shared.carry_out(vec![Effect::Drop { link: guest }]);
                // Its task gives the descriptor back.
                tokio::task::yield_now().await;
            }
            Knock::Later(wait) => {
                sleep(wait).await;
                continue;
            }
        }
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        let link = shared.last.get() + 1;
        shared.last.set(link);
        let hand = Rc::new(Hand::default());
        shared.hands.borrow_mut().insert(link, hand.clone());
        shared.station.borrow_mut().entered(shared.now(), link);
        shared.news.notify_one();
        let shared = shared.clone();
        spawn_local(async move {
            // Whatever ended it, the other end has left.
            let _ = tend(stream, link, &hand, &shared).await;
            shared.hands.borrow_mut().remove(&link);
            shared.station.borrow_mut().ended(link);
            shared.act();
        });
    }
}

async fn tend(mut stream: TcpStream, link: Link, hand: &Hand, shared: &Rc<Shared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.split();
    let (mut inbox, mut out) = (Lines::default(), BytesMut::new());
    loop {
        if out.is_empty() {
            out = hand.due.take();
        }
        match hand.ends.get() {
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
                take_lines(&mut inbox, link, shared);
            }
            wrote = writer.write(&out), if !out.is_empty() => {
                out.advance(wrote?);
                if out.is_empty() && hand.due.borrow().is_empty() {
                    shared.station.borrow_mut().written(link);
                    shared.news.notify_one();
                }
            }
            () = hand.wake.notified() => {}
        }
    }
}

/// Hands whole lines on; the rest stays. A line without end is nothing that can be read.
fn take_lines(inbox: &mut Lines, link: Link, shared: &Rc<Shared>) {
    let mut station = shared.station.borrow_mut();
    while inbox.next_line(|line| station.read(shared.now(), link, line)).is_some() {}
    if inbox.waiting().len() > station.line_most(link) {
        station.reject(link, "a message without end");
    }
    drop(station);
    shared.act();
}
