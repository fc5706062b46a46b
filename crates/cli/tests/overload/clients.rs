//! Connections of clients that misbehave.

use std::net::{SocketAddr, TcpStream};

use socket2::{Domain, Socket, Type};

/// The size of a receive buffer with which the system holds little on behalf of a client that does not read.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 4096;

/// Connects with a receive buffer so small that what the client does not read stays with the program under test.
pub fn connect_with_small_window(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES).expect("set");
    socket.connect(&address.into()).expect("connected");
    socket.into()
}
