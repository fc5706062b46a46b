//! An open-loop load generator: it sends requests at a given rate without waiting for earlier ones, and each client
//! waits for its response until its timeout.

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

/// Idle time after which a connection to a proxy is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_IDLE_PER_PROXY: usize = 8;
/// Lower bound of the rate, in requests per second, so that the time between two requests is finite.
const MIN_RATE: f64 = 1e-3;
/// The longest time between two requests, in seconds. A changed rate factor takes effect within this time.
const MAX_INTERVAL_S: f64 = 1.0;
/// The rate factor is stored as an integer, multiplied by this scale.
const RATE_FACTOR_SCALE: f64 = 1000.0;

/// The load of one request class.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// The name of the class, which is also the path of its requests.
    pub name: String,
    /// How long a client waits in total, over all of its attempts.
    pub client_timeout: Duration,
    /// Requests per second, of all clients together, before the rate factor.
    pub rate: f64,
    /// The number of retries, each sent immediately after a failure and within the client's timeout.
    pub max_client_retries: u32,
}

/// Sends the requests of all clients of a scenario. Clones share connections, request ids and the rate factor.
#[derive(Clone)]
pub struct LoadGenerator {
    client: Client<HttpConnector, Empty<Bytes>>,
    next_request_id: Arc<AtomicU64>,
    /// The factor applied to all rates, multiplied by [`RATE_FACTOR_SCALE`].
    rate_factor: Arc<AtomicU64>,
    recorder: TrafficRecorder,
}

/// The outcome of one attempt of a client.
struct AttemptResult {
    request: u64,
    /// The HTTP status; 0 if there was no response within the client's timeout.
    status: u16,
}

impl LoadGenerator {
    /// Returns a generator that records completed requests in `recorder`.
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
            rate_factor: Arc::new(AtomicU64::new(RATE_FACTOR_SCALE as u64)),
            recorder,
        }
    }

    /// Multiplies the rates of all classes by `factor`, replacing the previous factor.
    pub fn set_rate_factor(&self, factor: f64) {
        self.rate_factor.store((factor * RATE_FACTOR_SCALE) as u64, Ordering::Relaxed);
    }

    /// Sends one request and its client's retries, each under a new id, and records the completion. Returns the HTTP
    /// status of the last attempt, or 0 if it got no response within the client's timeout.
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

/// Sends requests of a class at random times (a Poisson process) to proxies drawn uniformly, until `until`, which is
/// measured from the start of the scenario. Returns when the last request has completed; dropping the future cancels
/// all requests.
pub async fn generate_load(
    generator: LoadGenerator,
    class: ClassLoad,
    proxies: Vec<SocketAddr>,
    seed: u64,
    until: Duration,
) {
    let mut random = WyRand::new_seed(seed);
    let mut requests = JoinSet::new();
    let mut send_at = generator.recorder.now();
    while send_at < until && !proxies.is_empty() {
        let rate = class.rate * generator.rate_factor.load(Ordering::Relaxed) as f64 / RATE_FACTOR_SCALE;
        send_at += random_interval(&mut random, rate);
        tokio::time::sleep(send_at.saturating_sub(generator.recorder.now())).await;
        let proxy = proxies[random.generate_range(0..proxies.len())];
        let generator = generator.clone();
        let class = class.clone();
        requests.spawn(async move { generator.send(proxy, &class).await });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
}

/// Draws the time until the next request from an exponential distribution.
fn random_interval(random: &mut WyRand, rate: f64) -> Duration {
    // In (0, 1], so that the logarithm is finite.
    let uniform = (f64::from(random.generate::<u32>()) + 1.0) / (f64::from(u32::MAX) + 1.0);
    Duration::from_secs_f64((-uniform.ln() / rate.max(MIN_RATE)).min(MAX_INTERVAL_S))
}
