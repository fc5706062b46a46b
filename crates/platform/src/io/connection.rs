//! The task of an accepted connection, which reads lines and writes pending output. Unless the connection is aborted or
//! fails, pending output is written before it is closed; docs/platform.md lists the ways in which a connection ends.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use lockcroft_runtime_api::{ByteReservation, LineBuffer};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::task::yield_now;
use tokio::time::timeout;

use super::connection_handle::{ConnectionHandle, Shutdown};
use super::shared::Shared;
use crate::connection_admission::ConnectionId;

/// The size of a read buffer that does not count towards the limit on the sum for all connections, in bytes. The unused
/// part of a larger one, as after a long message, is freed.
const UNCOUNTED_BUFFER_BYTES: usize = 1 << 13;
/// The size of a connection's send buffer, until a single message is longer. The system holds no more than that for a
/// client that sends much and does not read the replies; the rest counts as unwritten output.
pub const SEND_BUFFER_BYTES: usize = 1 << 14;
/// The timeout for writing the last bytes of a connection, and the timeout for the peer to close it afterwards.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum number of bytes that are read and discarded until the peer closes.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
const DISCARD_BUFFER_BYTES: usize = 1 << 12;

/// Serves a connection until it is closed.
///
/// # Errors
/// Returns an error if reading or writing fails, or if the last bytes can't be written in time before a close.
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
        read_buffer: LineBuffer::default(),
        read_reservation: shared.input_budget.reservation(),
        write_buffer: BytesMut::new(),
        send_buffer_bytes: SEND_BUFFER_BYTES,
        has_received: false,
    };
    task.run().await
}

/// The state of a connection's task.
struct ConnectionTask<'a> {
    connection: ConnectionId,
    handle: &'a ConnectionHandle,
    shared: &'a Rc<Shared>,
    reader: ReadHalf<'a>,
    writer: WriteHalf<'a>,
    read_buffer: LineBuffer,
    /// The bytes of the read buffer that count towards the limit on the sum for all connections.
    read_reservation: ByteReservation,
    /// The bytes that are being written.
    write_buffer: BytesMut,
    /// The size of the socket's send buffer.
    send_buffer_bytes: usize,
    /// True once any bytes were received.
    has_received: bool,
}

impl ConnectionTask<'_> {
    async fn run(mut self) -> io::Result<()> {
        loop {
            if self.write_buffer.is_empty() {
                self.write_buffer = self.handle.pending.take();
            }
            self.handle.set_writing(self.write_buffer.len());
            self.enlarge_send_buffer();
            match self.handle.shutdown.get() {
                Some(Shutdown::Now) => return Ok(()),
                Some(Shutdown::AfterWrites) => return self.close_after_writes().await,
                None => {}
            }
            if self.handle.final_read.take() {
                self.read_available().await?;
                self.shared.control_plane.borrow_mut().final_read_completed(self.connection);
                self.shared.after_input();
                continue;
            }
            tokio::select! {
                read = self.reader.read_buf(self.read_buffer.buffer()) => {
                    if read? == 0 {
                        return self.handle_end_of_input().await;
                    }
                    self.has_received = true;
                    self.handle_lines();
                }
                written = self.writer.write(&self.write_buffer), if !self.write_buffer.is_empty() => {
                    self.record_written(written?);
                }
                () = self.handle.wake.notified() => {}
            }
        }
    }

    /// Enlarges the socket's send buffer for a long message, so that the system takes as much of it as it can.
    fn enlarge_send_buffer(&mut self) {
        let longest_message = self.handle.longest_message.get();
        if longest_message > self.send_buffer_bytes {
            self.send_buffer_bytes = longest_message;
            // With a smaller buffer, the message only takes longer.
            let _ = SockRef::from(self.writer.as_ref()).set_send_buffer_size(longest_message);
        }
    }

    fn record_written(&mut self, written: usize) {
        self.write_buffer.advance(written);
        if self.write_buffer.is_empty() && self.handle.pending.borrow().is_empty() {
            self.shared.control_plane.borrow_mut().write_completed(self.connection);
            self.shared.input_arrived.notify_one();
        }
    }

    /// Passes complete lines to the control plane; an incomplete line stays in the buffer. Rejects the connection if
    /// that line is too long, or if the incomplete lines of all connections are.
    fn handle_lines(&mut self) {
        let mut control_plane = self.shared.control_plane.borrow_mut();
        let connection = self.connection;
        let mut handle_line = |line: &[u8]| {
            control_plane.line_received(self.shared.now(), connection, line);
        };
        while self.read_buffer.next_line(&mut handle_line).is_some() {}
        if self.read_buffer.pending().len() > control_plane.max_line_bytes(connection) {
            control_plane.reject(connection, "a message without end");
        }
        self.read_buffer.release_unused(UNCOUNTED_BUFFER_BYTES);
        let counted_bytes = self.read_buffer.allocated_bytes().saturating_sub(UNCOUNTED_BUFFER_BYTES);
        if let Err(error) = self.read_reservation.try_resize(counted_bytes) {
            control_plane.reject(connection, &error.to_string());
        }
        drop(control_plane);
        self.shared.after_input();
    }

    /// Reads and handles the bytes that have already arrived, without waiting for more.
    async fn read_available(&mut self) -> io::Result<()> {
        tokio::select! {
            biased;
            read = self.reader.read_buf(self.read_buffer.buffer()) => {
                read?;
                self.handle_lines();
            }
            () = yield_now() => {}
        }
        Ok(())
    }

    /// Handles the end of the input. The last line may lack its terminator. Pending output is still written, as the
    /// peer may have closed only its sending side.
    async fn handle_end_of_input(mut self) -> io::Result<()> {
        let last_line = self.read_buffer.pending();
        if !last_line.is_empty() {
            let now = self.shared.now();
            self.shared.control_plane.borrow_mut().line_received(now, self.connection, last_line);
        }
        self.shared.control_plane.borrow_mut().connection_ended(self.connection);
        self.shared.after_input();
        // The session has ended, so output that can't be written in time is discarded.
        let _ = self.write_remaining().await;
        Ok(())
    }

    /// Writes pending output, then closes the connection. Closing a socket with unread input sends a reset, which may
    /// discard the last message before the peer reads it. So if the peer has sent anything, its input is read and
    /// discarded for a limited time, provided that file descriptors are available.
    async fn close_after_writes(mut self) -> io::Result<()> {
        self.discard_read_buffer();
        self.write_remaining().await?;
        self.writer.shutdown().await?;
        if self.has_received && self.shared.control_plane.borrow().has_capacity() {
            // The connection is closed whether or not the peer closes in time.
            let _ = timeout(CLOSE_TIMEOUT, self.discard_input()).await;
        }
        Ok(())
    }

    /// Writes the rest of the current output and everything that became pending since. The last message of a connection
    /// is often queued while an earlier one is partly written.
    async fn write_remaining(&mut self) -> io::Result<()> {
        self.write_buffer.extend_from_slice(&self.handle.pending.take());
        self.handle.set_writing(self.write_buffer.len());
        timeout(CLOSE_TIMEOUT, self.writer.write_all(&self.write_buffer)).await?
    }

    /// Frees the input that was read and is not handled any more, while the connection is being closed.
    fn discard_read_buffer(&mut self) {
        self.read_buffer = LineBuffer::default();
        // Fewer bytes than before are always possible.
        let _ = self.read_reservation.try_resize(0);
    }

    async fn discard_input(&mut self) -> io::Result<()> {
        let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES {
            match self.reader.read(&mut buffer).await? {
                0 => break,
                read => discarded += read,
            }
        }
        Ok(())
    }
}
