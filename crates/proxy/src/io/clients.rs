//! Client connections: accepts them and serves HTTP/1.1 on them.

use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::client_stream::ClientStream;
use super::forward::forward;
use super::guards::CountGuard;
use super::request_validator::RequestValidator;
use super::worker::Worker;

/// Pause after a failed accept, as when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts client connections until dropped. The tasks of accepted connections end with the worker.
pub async fn accept_connections(listener: TcpListener, worker: Rc<Worker>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if worker.clients.get() >= worker.config.max_clients {
            continue;
        }
        // Without it responses are only slower.
        let _ = stream.set_nodelay(true);
        let client = CountGuard::new(&worker.clients);
        let worker = worker.clone();
        spawn_local(async move {
            serve_connection(stream, &worker).await;
            drop(client);
        });
    }
}

async fn serve_connection(stream: TcpStream, worker: &Rc<Worker>) {
    let service = service_fn(|request| forward(request, worker.clone()));
    let mut http = http1::Builder::new();
    // Who has closed the sending side only still waits for the response.
    http.half_close(true).timer(TokioTimer::new()).header_read_timeout(worker.config.header_timeout);
    let stream = ClientStream::new(stream);
    let serving = http.serve_connection(TokioIo::new(RequestValidator::new(stream.clone())), service);
    tokio::select! {
        // An error concerns this client alone: it broke off, or was cut off.
        _ = serving => {}
        () = stream.reset() => {}
        () = worker.stopped() => {}
    }
}
