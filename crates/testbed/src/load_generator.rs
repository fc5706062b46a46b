//! An open-loop load generator: requests come at a rate, whatever becomes of those before, and wait for as long as the
//! client's timeout.

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
use tokio::task::JoinSet;

use crate::headers;
use crate::traffic_event::TrafficEvent;
use crate::traffic_recorder::TrafficRecorder;

/// Connections to proxies that are not used for so long are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_IDLE_PER_PROXY: usize = 8;
/// Keeps the time between two requests finite where the rate is next to nothing, in requests a second.
const MIN_RATE: f64 = 1e-3;
/// The longest time between two requests, in seconds: a changed rate factor takes effect within it.
const MAX_GAP_S: f64 = 1.0;
/// The rate factor is held in these units.
const FACTOR_UNITS: f64 = 1000.0;

/// The requests of one class.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// The class's name, which is the path of its requests.
    pub name: String,
    /// How long a client waits, all its attempts together.
    pub client_timeout: Duration,
    /// Requests a second, all clients together.
    pub rate: f64,
    /// How often a client retries at once after a failure, within its timeout.
    pub max_client_retries: u32,
}

/// Sends requests in the name of all clients of a scenario; clones share connections, ids and the rate factor.
#[derive(Clone)]
pub struct LoadGenerator {
    client: Client<HttpConnector, Empty<Bytes>>,
    next_request_id: Arc<AtomicU64>,
    /// The factor on all rates, in thousandths.
    rate_factor: Arc<AtomicU64>,
    recorder: TrafficRecorder,
}

/// How one attempt of a client ended.
struct AttemptResult {
    request: u64,
    /// 0 if the client's timeout ended first.
    status: u16,
}

impl LoadGenerator {
    /// A generator that records completed requests there.
    #[must_use]
    pub fn new(recorder: TrafficRecorder) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(MAX_IDLE_PER_PROXY)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        LoadGenerator {
            client,
            next_request_id: Arc::new(AtomicU64::new(1)),
            rate_factor: Arc::new(AtomicU64::new(FACTOR_UNITS as u64)),
            recorder,
        }
    }

    /// Multiplies all rates by this from now on.
    pub fn set_rate_factor(&self, factor: f64) {
        self.rate_factor.store((factor * FACTOR_UNITS) as u64, Ordering::Relaxed);
    }

    /// One request with its client's retries, each with an id of its own. Gives the status of the last response; 0 if
    /// the client's timeout ended first.
    pub async fn send(&self, proxy: SocketAddr, class: &ClassLoad) -> u16 {
        let sent_at = self.recorder.now();
        let mut last = AttemptResult { request: 0, status: 0 };
        for _ in 0..=class.max_client_retries {
            last = self.attempt(proxy, class, sent_at).await;
            if last.status == 200 || self.recorder.now() >= sent_at + class.client_timeout {
                break;
            }
        }
        let AttemptResult { request, status } = last;
        let class = class.name.clone();
        self.recorder.record(TrafficEvent::RequestCompleted { request, class, sent_at, status });
        status
    }

    async fn attempt(&self, proxy: SocketAddr, class: &ClassLoad, sent_at: Duration) -> AttemptResult {
        let id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let remaining = (sent_at + class.client_timeout).saturating_sub(self.recorder.now());
        let request = Request::get(format!("http://{proxy}/{}", class.name))
            .header(headers::REQUEST_ID, id)
            .header(headers::REMAINING_TIMEOUT_MS, remaining.as_millis() as u64)
            .body(Empty::new());
        let Ok(request) = request else { return AttemptResult { request: id, status: 0 } };
        let response = tokio::time::timeout(remaining, self.client.request(request)).await;
        let status = response.ok().and_then(Result::ok).map_or(0, |response| response.status().as_u16());
        AttemptResult { request: id, status }
    }
}

/// Sends requests of a class at random times (a Poisson process), spread evenly over these proxies, until the given time
/// since the start of the scenario. Ends once its last request has; dropping it ends them all.
pub async fn generate_load(
    generator: LoadGenerator,
    class: ClassLoad,
    proxies: Vec<SocketAddr>,
    seed: u64,
    until: Duration,
) {
    let mut random = WyRand::new_seed(seed);
    let mut requests = JoinSet::new();
    let mut at = generator.recorder.now();
    while at < until && !proxies.is_empty() {
        let rate = class.rate * generator.rate_factor.load(Ordering::Relaxed) as f64 / FACTOR_UNITS;
        at += gap(&mut random, rate);
        tokio::time::sleep(at.saturating_sub(generator.recorder.now())).await;
        let proxy = proxies[random.generate_range(0..proxies.len())];
        let generator = generator.clone();
        let class = class.clone();
        requests.spawn(async move { generator.send(proxy, &class).await });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
}

/// A draw of the exponentially distributed time between two requests.
fn gap(random: &mut WyRand, rate: f64) -> Duration {
    // Above 0 and at most 1, so that the logarithm is finite.
    let uniform = (f64::from(random.generate::<u32>()) + 1.0) / (f64::from(u32::MAX) + 1.0);
    Duration::from_secs_f64((-uniform.ln() / rate.max(MIN_RATE)).min(MAX_GAP_S))
}
