//! Connections of clients that misbehave.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// The size of a receive buffer with which the system holds little on behalf of a client that does not read.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 4096;

/// The time after which the program under test counts as not reading any more.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits until no other of these tests runs: each loads the machine, and some of them measure times.
pub fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Connects with a receive buffer so small that what the client does not read stays with the program under test.
pub fn connect_with_small_window(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES).expect("set");
    socket.connect(&address.into()).expect("connected");
    socket.into()
}

/// Writes as much as the program under test takes; a connection that it closes is no failure.
pub fn send_some(stream: &mut TcpStream, bytes: &[u8]) {
    stream.set_write_timeout(Some(SEND_TIMEOUT)).expect("set");
    let _ = stream.write_all(bytes);
}

/// How long a client sends at full speed.
const FLOOD: Duration = Duration::from_secs(3);

/// Sends messages with ever new numbers on one connection at full speed and discards what it receives, while another
/// client asks again and again. Returns the longest time that one question took.
pub fn longest_answer_during_flood<S: Write + Send + 'static>(
    mut sender: S,
    message: impl Fn(usize) -> String + Send + 'static,
    mut ask: impl FnMut(),
) -> Duration {
    let flood = thread::spawn(move || {
        let end = Instant::now() + FLOOD;
        // A connection that the program closes ends the flood.
        (0..)
            .take_while(|_| Instant::now() < end)
            .try_for_each(|number| sender.write_all(message(number).as_bytes()))
    });
    let mut longest = Duration::ZERO;
    while !flood.is_finished() {
        let asked_at = Instant::now();
        ask();
        longest = longest.max(asked_at.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
    println!("the longest answer took {longest:?}");
    longest
}

/// Reads and discards what a connection receives, until it ends.
pub fn discard_received(mut reader: impl Read + Send + 'static) {
    thread::spawn(move || while let Ok(1..) = reader.read(&mut [0; 1 << 16]) {});
}
