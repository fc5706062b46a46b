//! Probes: a call to a server over a connection of its own, so that a listener that is gone shows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lockcroft::Finding;
use lockcroft::logic::PROBE_WAIT;
use lockcroft_calls::{Fault, Line};
use tokio::time::timeout;
use tracing::debug;

use crate::codec::load;

/// Load reports are short.
const REPORT_MOST: usize = 4096;

pub async fn probe(address: SocketAddr, asks_load: bool) -> (Finding, Duration) {
    let sent = Instant::now();
    let finding = timeout(PROBE_WAIT, call(address, asks_load)).await.unwrap_or(Finding::Failed);
    (finding, sent.elapsed())
}

async fn call(address: SocketAddr, asks_load: bool) -> Finding {
    let path = if asks_load { "/metrics/load" } else { "/alive" };
    let Ok(mut line) = Line::open(address).await else { return Finding::Refused };
    match line.get(path, true, REPORT_MOST).await {
        Ok(answer) if answer.status.is_success() => {
            Finding::Passed(load(&String::from_utf8_lossy(&answer.body)))
        }
        Ok(answer) => {
            debug!(target: "lockcroft::probe", status = %answer.status, body = ?answer.body, %address);
            Finding::Failed
        }
        Err(Fault::Broken(_)) => Finding::Refused,
        Err(Fault::Cut(_)) => Finding::Failed,
    }
}
