//! Streams to proxies: one task for each proxy dials, writes and reads as it is told.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use lockcroft::ProxyId;
use lockcroft_runtime_api::{Address, MAX_RESPONSE_BYTES, ResponseReader, Stream, dial};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::{Event, Told};

/// A connection takes no longer than this.
const DIAL_MOST: Duration = Duration::from_secs(2);

enum Task {
    Dial(u64, Duration),
    Write(u64, String),
    Close,
}

/// One proxy's task, by its inbox. What waits in it is bounded by the order book, which has one
/// message and one question on the way at a time.
pub struct ProxyConnections(mpsc::UnboundedSender<Task>);

impl ProxyConnections {
    pub fn new(proxy: ProxyId, address: Address, told: Told) -> Self {
        let (sender, inbox) = mpsc::unbounded_channel();
        spawn_local(tend(proxy, address, told, inbox));
        ProxyConnections(sender)
    }

    // A task ends only with the pilot, so nobody misses what can't be sent any more.
    pub fn dial(&self, stream: u64, after: Duration) {
        let _ = self.0.send(Task::Dial(stream, after));
    }

    pub fn write(&self, stream: u64, text: String) {
        let _ = self.0.send(Task::Write(stream, text));
    }

    pub fn close(&self) {
        let _ = self.0.send(Task::Close);
    }
}

async fn tend(proxy: ProxyId, address: Address, told: Told, mut inbox: mpsc::UnboundedReceiver<Task>) {
    while let Some(task) = inbox.recv().await {
        let Task::Dial(stream, after) = task else { continue };
        sleep(after).await;
        let late = || io::Error::from(io::ErrorKind::TimedOut);
        let made = timeout(DIAL_MOST, dial(&address)).await.unwrap_or_else(|_| Err(late()));
        let why = match made {
            Err(error) => format!("cannot be dialled: {error}"),
            Ok(socket) => {
                let _ = told.send(Event::Connected { proxy, stream }).await;
                match talk(proxy, stream, socket, &told, &mut inbox).await {
                    None => continue,
                    Some(why) => why,
                }
            }
        };
        let _ = told.send(Event::Broken { proxy, stream, why }).await;
    }
}

/// Until the stream breaks, which comes back with its reason, or is given up by the pilot.
async fn talk(
    proxy: ProxyId,
    stream: u64,
    mut socket: Box<dyn Stream>,
    told: &Told,
    inbox: &mut mpsc::UnboundedReceiver<Task>,
) -> Option<String> {
    let (mut answers, mut out) = (ResponseReader::default(), BytesMut::new());
    let (mut reader, mut writer) = tokio::io::split(&mut socket);
    loop {
        tokio::select! {
            task = inbox.recv() => match task? {
                Task::Write(number, text) if number == stream => out.extend_from_slice(text.as_bytes()),
                Task::Close => return None,
                Task::Write(..) | Task::Dial(..) => {}
            },
            written = writer.write_buf(&mut out), if !out.is_empty() => {
                if let Err(error) = written {
                    return Some(format!("writing: {error}"));
                }
            }
            read = reader.read_buf(answers.buffer()) => match read {
                Ok(0) => return Some("closed by the proxy".into()),
                Err(error) => return Some(format!("reading: {error}")),
                Ok(_) => {
                    let texts: Vec<String> = std::iter::from_fn(|| answers.next_answer()).collect();
                    if !texts.is_empty() {
                        told.send(Event::Answered { proxy, stream, texts }).await.ok()?;
                    }
                    if answers.held() > MAX_RESPONSE_BYTES {
                        return Some("an answer without an end".into());
                    }
                }
            },
        }
    }
}
