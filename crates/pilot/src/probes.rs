//! Probes: a call to a server, over a connection of its own so that a listener that is gone shows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::header::{CONNECTION, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use lockcroft::Finding;
use lockcroft::logic::PROBE_WAIT;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Where servers tell the share of their cores in use, from 0 to 1.
const LOAD: &str = "x-load";

pub async fn probe(address: SocketAddr) -> (Finding, Duration) {
    let sent = Instant::now();
    let finding = timeout(PROBE_WAIT, call(address)).await.unwrap_or(Finding::Failed);
    (finding, sent.elapsed())
}

async fn call(address: SocketAddr) -> Finding {
    let Ok(stream) = TcpStream::connect(address).await else { return Finding::Refused };
    let Ok((mut sender, connection)) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await
    else {
        return Finding::Refused;
    };
    let connection = spawn_local(connection);
    let request = Request::get("/health").header(HOST, address.to_string()).header(CONNECTION, "close");
    let Ok(request) = request.body(Empty::<Bytes>::new()) else { return Finding::Failed };
    let answer = sender.send_request(request).await;
    connection.abort();
    let Ok(answer) = answer else { return Finding::Refused };
    let load = answer.headers().get(LOAD).and_then(|load| load.to_str().ok()?.parse().ok());
    match answer.status() {
        status if status.is_success() => Finding::Passed(load),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Finding::TurnedAway,
        _ => Finding::Failed,
    }
}
