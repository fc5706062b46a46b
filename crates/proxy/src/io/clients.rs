//! Client connections: accepts them, serves HTTP/1.1 on them, and drains them when the proxy is to end.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::client_stream::{ClientHandle, ClientStream};
use super::forward::forward;
use super::guards::CountGuard;
use super::request_validator::RequestValidator;
use super::worker::Worker;

/// Pause after a failed accept, as when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How long a connection without a request stays open once the proxy drains: a request that is on its way is
/// answered then, and does not meet a closed connection.
const IDLE_DRAIN_DELAY: Duration = Duration::from_millis(250);

/// How often a connection within the head of a request is looked at while the proxy drains.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts client connections until the proxy drains, and ends once the last of them has. Dropping it ends
/// them all.
pub async fn accept_connections(listener: TcpListener, worker: Rc<Worker>) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = worker.draining() => break,
        };
        match accepted {
            Ok((stream, _)) => start_connection(stream, &worker, &mut connections),
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
        while connections.try_join_next().is_some() {}
    }
    accept_queued(listener, &worker, &mut connections);
    while connections.join_next().await.is_some() {}
}

/// Accepts what is in the listener's queue already, and may have been sent requests, then closes the listener.
fn accept_queued(listener: TcpListener, worker: &Rc<Worker>, connections: &mut JoinSet<()>) {
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, _)) = listener.accept() {
        let Ok(()) = stream.set_nonblocking(true) else { continue };
        if let Ok(stream) = TcpStream::from_std(stream) {
            start_connection(stream, worker, connections);
        }
    }
}

fn start_connection(stream: TcpStream, worker: &Rc<Worker>, connections: &mut JoinSet<()>) {
    if worker.clients.get() >= worker.config.max_clients {
        return;
    }
    // Without it responses are only slower.
    let _ = stream.set_nodelay(true);
    let client = CountGuard::new(&worker.clients);
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
    let validated = RequestValidator::new(stream, between_requests.clone());
    let service = service_fn(|request| forward(request, worker.clone()));
    let mut http = http1::Builder::new();
    // Who has closed the sending side only still waits for the response.
    http.half_close(true).timer(TokioTimer::new()).header_read_timeout(worker.config.header_timeout);
    let mut serving = pin!(http.serve_connection(TokioIo::new(validated), service));
    let mut reset = pin!(handle.reset());
    tokio::select! {
        // An error concerns this client alone: it broke off, or was cut off.
        _ = &mut serving => return,
        () = &mut reset => return,
        () = drained(worker, &handle, &between_requests) => {}
    }
    // A request that is being answered is finished first.
    serving.as_mut().graceful_shutdown();
    tokio::select! {
        _ = serving => {}
        () = reset => {}
    }
}

/// Waits until the proxy drains and nothing of a further request has come.
async fn drained(worker: &Worker, client: &ClientHandle, between_requests: &Cell<bool>) {
    worker.draining().await;
    sleep(IDLE_DRAIN_DELAY).await;
    while client.has_unread() || !between_requests.get() {
        sleep(IDLE_POLL_INTERVAL).await;
    }
}
