//! Callers: visits come at a rate, whatever becomes of those before, and wait as long as their
//! patience lasts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use nanorand::{Rng, WyRand};

use crate::tap::{TrafficEvent, TrafficRecorder};

/// Connections to relays that are not used for so long are closed.
const IDLE: Duration = Duration::from_secs(2);

/// What callers of a class do.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    pub name: String,
    pub patience: Duration,
    /// Visits a second, all callers together.
    pub rate: f64,
    /// How often a client comes again at once after a failure, within its patience.
    pub comes_again: u32,
}

/// Calls in the name of all clients of a day.
#[derive(Clone)]
pub struct LoadGenerator {
    client: Client<HttpConnector, Empty<Bytes>>,
    ids: Arc<AtomicU64>,
    /// The rate is so many thousandths of what is stated.
    factor: Arc<AtomicU64>,
    tap: TrafficRecorder,
}

impl LoadGenerator {
    pub fn new(tap: TrafficRecorder) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(8)
            .pool_idle_timeout(IDLE)
            .pool_timer(TokioTimer::new())
            .build(connector);
        LoadGenerator {
            client,
            ids: Arc::new(AtomicU64::new(1)),
            factor: Arc::new(AtomicU64::new(1000)),
            tap,
        }
    }

    pub fn set_factor(&self, factor: f64) {
        self.factor.store((factor * 1000.0) as u64, Ordering::Relaxed);
    }

    /// One visit with the tries that its client makes by itself, each with an id of its own; the
    /// status is 0 where the client's patience ended first.
    pub async fn visit(&self, to: SocketAddr, class: &ClassLoad) -> u16 {
        let asked = self.tap.now();
        let (mut visit, mut status) = (0, 0);
        for _ in 0..=class.comes_again {
            (visit, status) = self.call(to, class, asked).await;
            if status == 200 || self.tap.now() >= asked + class.patience {
                break;
            }
        }
        self.tap.put(TrafficEvent::Visit { visit, class: class.name.clone(), asked, status });
        status
    }

    async fn call(&self, to: SocketAddr, class: &ClassLoad, asked: Duration) -> (u64, u16) {
        let id = self.ids.fetch_add(1, Ordering::Relaxed);
        let left = (asked + class.patience).saturating_sub(self.tap.now());
        let visit = Request::get(format!("http://{to}/{}", class.name))
            .header("x-visit", id)
            .header("x-patience-ms", left.as_millis() as u64)
            .body(Empty::new());
        let Ok(visit) = visit else { return (id, 0) };
        let answer = tokio::time::timeout(left, self.client.request(visit)).await;
        let status = answer.ok().and_then(Result::ok).map_or(0, |answer| answer.status().as_u16());
        (id, status)
    }
}

/// Visits of a class at random times, spread over these relays, until the given time.
pub async fn call_on(
    caller: LoadGenerator,
    class: ClassLoad,
    relays: Vec<SocketAddr>,
    seed: u64,
    until: Duration,
) {
    let mut chance = WyRand::new_seed(seed);
    let mut at = caller.tap.now();
    while at < until && !relays.is_empty() {
        let draw = (f64::from(chance.generate::<u32>()) + 1.0) / (f64::from(u32::MAX) + 1.0);
        let rate = class.rate * caller.factor.load(Ordering::Relaxed) as f64 / 1000.0;
        at += Duration::from_secs_f64((-draw.ln() / rate.max(1e-3)).min(1.0));
        tokio::time::sleep(at.saturating_sub(caller.tap.now())).await;
        let to = relays[chance.generate_range(0..relays.len())];
        let (caller, class) = (caller.clone(), class.clone());
        tokio::spawn(async move { caller.visit(to, &class).await });
    }
}
