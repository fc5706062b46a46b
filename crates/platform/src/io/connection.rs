//! One connection from a proxy, a collector or anybody else: its task reads lines and writes what is pending. However
//! the connection ends, what is owed at that instant is paid first: docs/platform.md lists the endings.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use lockcroft_runtime_api::LineBuffer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::task::yield_now;
use tokio::time::timeout;

use super::connection_handle::{ConnectionHandle, Shutdown};
use super::shared::Shared;
use crate::connection_admission::ConnectionId;

/// A buffer that a long message has grown beyond this is given back.
const MAX_KEPT_BUFFER_BYTES: usize = 1 << 16;
/// How long the last bytes of a connection may take to be written, and the other end to close after that.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The most bytes that are read and dropped while the other end closes.
const MAX_DROPPED_BYTES: usize = 1 << 20;
const DROP_BUFFER_BYTES: usize = 1 << 12;

/// Reads and writes until the connection ends.
///
/// # Errors
/// The connection broke.
pub async fn run(
    mut stream: TcpStream,
    connection: ConnectionId,
    handle: &ConnectionHandle,
    shared: &Rc<Shared>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.split();
    let task = ConnectionTask {
        connection,
        handle,
        shared,
        reader,
        writer,
        inbox: LineBuffer::default(),
        outbox: BytesMut::new(),
        has_received: false,
    };
    task.run().await
}

/// The state of the task of a connection.
struct ConnectionTask<'a> {
    connection: ConnectionId,
    handle: &'a ConnectionHandle,
    shared: &'a Rc<Shared>,
    reader: ReadHalf<'a>,
    writer: WriteHalf<'a>,
    inbox: LineBuffer,
    /// What is being written.
    outbox: BytesMut,
    /// Bytes came at some time.
    has_received: bool,
}

impl ConnectionTask<'_> {
    async fn run(mut self) -> io::Result<()> {
        loop {
            if self.outbox.is_empty() {
                self.outbox = self.handle.pending.take();
            }
            self.handle.writing_bytes.set(self.outbox.len());
            match self.handle.shutdown.get() {
                Some(Shutdown::Now) => return Ok(()),
                Some(Shutdown::AfterWrites) => return self.close_after_writes().await,
                None => {}
            }
            if self.handle.final_read.take() {
                self.read_what_came().await?;
                self.shared.control_plane.borrow_mut().final_read_completed(self.connection);
                self.shared.after_input();
                continue;
            }
            self.release_large_buffer();
            tokio::select! {
                read = self.reader.read_buf(self.inbox.buffer()) => {
                    if read? == 0 {
                        return self.end_of_input().await;
                    }
                    self.has_received = true;
                    self.handle_lines();
                }
                written = self.writer.write(&self.outbox), if !self.outbox.is_empty() => {
                    self.bytes_written(written?);
                }
                () = self.handle.wake.notified() => {}
            }
        }
    }

    fn release_large_buffer(&mut self) {
        if self.inbox.pending().is_empty() && self.inbox.buffer().capacity() > MAX_KEPT_BUFFER_BYTES {
            self.inbox = LineBuffer::default();
        }
    }

    fn bytes_written(&mut self, written: usize) {
        self.outbox.advance(written);
        if self.outbox.is_empty() && self.handle.pending.borrow().is_empty() {
            self.shared.control_plane.borrow_mut().write_completed(self.connection);
            self.shared.input_arrived.notify_one();
        }
    }

    /// Hands whole lines on; the rest stays. A line without an end can't be read.
    fn handle_lines(&mut self) {
        let mut control_plane = self.shared.control_plane.borrow_mut();
        let connection = self.connection;
        let mut handle_line = |line: &[u8]| {
            control_plane.line_received(self.shared.now(), connection, line);
        };
        while self.inbox.next_line(&mut handle_line).is_some() {}
        if self.inbox.pending().len() > control_plane.max_line_bytes(connection) {
            control_plane.reject(connection, "a message without end");
        }
        drop(control_plane);
        self.shared.after_input();
    }

    /// Reads what lies in the socket by now, without waiting for more.
    async fn read_what_came(&mut self) -> io::Result<()> {
        tokio::select! {
            biased;
            read = self.reader.read_buf(self.inbox.buffer()) => {
                read?;
                self.handle_lines();
            }
            () = yield_now() => {}
        }
        Ok(())
    }

    /// The other end sends no more. Its last line may lack its end; it still gets what is pending, as it may have
    /// closed its sending side only.
    async fn end_of_input(mut self) -> io::Result<()> {
        let rest = self.inbox.pending();
        if !rest.is_empty() {
            let now = self.shared.now();
            self.shared.control_plane.borrow_mut().line_received(now, self.connection, rest);
        }
        self.shared.control_plane.borrow_mut().connection_ended(self.connection);
        self.shared.after_input();
        // What can't be written in time is owed to nobody any more.
        let _ = self.write_remaining().await;
        Ok(())
    }

    /// Writes what is pending, then closes. Bytes that lie unread at a close make a reset of it, which may take the
    /// last message along: who has sent something is read on for a while, where descriptors allow.
    async fn close_after_writes(mut self) -> io::Result<()> {
        self.write_remaining().await?;
        self.writer.shutdown().await?;
        if self.has_received && self.shared.control_plane.borrow().has_capacity() {
            // It is closed in any case.
            let _ = timeout(CLOSE_TIMEOUT, self.drop_what_comes()).await;
        }
        Ok(())
    }

    /// Writes the rest of what is being written and all that became pending since: the last message of a connection
    /// often comes while an earlier one is half written.
    async fn write_remaining(&mut self) -> io::Result<()> {
        self.outbox.extend_from_slice(&self.handle.pending.take());
        self.handle.writing_bytes.set(self.outbox.len());
        timeout(CLOSE_TIMEOUT, self.writer.write_all(&self.outbox)).await?
    }

    async fn drop_what_comes(&mut self) -> io::Result<()> {
        let mut buffer = vec![0; DROP_BUFFER_BYTES];
        let mut dropped = 0;
        while dropped < MAX_DROPPED_BYTES {
            match self.reader.read(&mut buffer).await? {
                0 => break,
                read => dropped += read,
            }
        }
        Ok(())
    }
}
