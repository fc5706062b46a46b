//! Client connections: accepts them, serves HTTP/1.1 on them, and drains them at shutdown.

use std::cell::Cell;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::bodies::Body;
use super::client_stream::{ClientHandle, ClientStream};
use super::connection_pool::MAX_CONNECTION_BUFFER_BYTES;
use super::forward::forward;
use super::guards::CountGuard;
use super::request_validator::RequestValidator;
use super::worker::Worker;

/// Delay after a failed accept, such as one for lack of free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time for which an idle connection stays open once the proxy drains, so that a request that the
/// client has already sent is answered and does not find the connection closed.
const IDLE_DRAIN_DELAY: Duration = Duration::from_millis(250);

/// Interval at which a connection on which a request is being received is checked while the proxy drains.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts client connections until the proxy drains, then returns once all of them are closed. A future that
/// is dropped closes them all.
pub async fn accept_connections(listener: TcpListener, worker: Rc<Worker>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = worker.wait_until_draining() => break,
        };
        match accepted {
            Ok((stream, _)) => start_connection(stream, &worker, &mut connections),
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
        while connections.try_join_next().is_some() {}
    }
    accept_backlog(listener, &worker, &mut connections);
    while connections.join_next().await.is_some() {}
}

/// Accepts the connections in the listener's backlog, then closes the listener. Clients may have sent
/// requests on them, which closing the listener would reset.
fn accept_backlog(listener: TcpListener, worker: &Rc<Worker>, connections: &mut JoinSet<()>) {
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, _)) = listener.accept() {
        let Ok(()) = stream.set_nonblocking(true) else { continue };
        if let Ok(stream) = TcpStream::from_std(stream) {
            start_connection(stream, worker, connections);
        }
    }
}

fn start_connection(stream: TcpStream, worker: &Rc<Worker>, connections: &mut JoinSet<()>) {
    if worker.client_connections.get() >= worker.config.max_clients {
        return;
    }
    // If the option can't be set, responses are only slower.
    let _ = stream.set_nodelay(true);
    let client = CountGuard::new(&worker.client_connections);
    let worker = worker.clone();
    connections.spawn_local(async move {
        serve_connection(stream, &worker).await;
        drop(client);
    });
}

async fn serve_connection(stream: TcpStream, worker: &Rc<Worker>) {
    let stream = ClientStream::new(stream);
    let handle = stream.handle();
    let between_requests = Rc::new(Cell::new(true));
    let validated =
        RequestValidator::new(stream, between_requests.clone(), worker.buffered_bytes.reservation());
    let service = service_fn(|request| forward_unless_reset(request, worker.clone(), &handle));
    let mut http = http1::Builder::new();
    // A client that has only closed its sending side still waits for the response.
    http.half_close(true)
        .max_buf_size(MAX_CONNECTION_BUFFER_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(worker.config.header_timeout);
    let mut serving = pin!(http.serve_connection(TokioIo::new(validated), service));
    let mut reset = pin!(handle.wait_for_reset());
    tokio::select! {
        // An error affects this client alone: it disconnected, or a timeout or the validator ended the
        // connection.
        _ = &mut serving => return,
        () = &mut reset => return,
        () = wait_until_idle_while_draining(worker, &handle, &between_requests) => {}
    }
    // A request in flight is answered before the connection is closed.
    serving.as_mut().graceful_shutdown();
    tokio::select! {
        _ = serving => {}
        () = reset => {}
    }
}

/// Forwards a request, unless the client has reset its connection: nobody waits for the response, and the request may
/// be one of many that were received before the reset.
async fn forward_unless_reset(
    request: Request<Incoming>,
    worker: Rc<Worker>,
    client: &ClientHandle,
) -> io::Result<Response<Body>> {
    if client.take_reset() {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    Ok(forward(request, worker).await)
}

/// Waits until the proxy drains and no byte of a further request was received.
async fn wait_until_idle_while_draining(
    worker: &Worker,
    client: &ClientHandle,
    between_requests: &Cell<bool>,
) {
    worker.wait_until_draining().await;
    sleep(IDLE_DRAIN_DELAY).await;
    while client.has_unread() || !between_requests.get() {
        sleep(IDLE_POLL_INTERVAL).await;
    }
}
