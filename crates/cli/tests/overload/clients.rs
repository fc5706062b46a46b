//! Connections of clients that misbehave.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

/// The size of a receive buffer with which the system holds little on behalf of a client that does not read.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 4096;

/// The time after which the program under test counts as not reading any more.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

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
