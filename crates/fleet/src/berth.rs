//! One proxy's stream: dialling, asking what the proxy holds, joined; and what is asked on it.

use std::collections::VecDeque;
use std::time::Duration;

use lockcroft_config::{BackoffRange, ProxyConfig};
use lockcroft_runtime_api::tables::{StateRow, read_states};
use nanorand::{Rng, WyRand};

use crate::book::ProxyLedger;
use crate::reports::Counters;

/// Waits between dials are spread by this share, so that proxies which were lost together are not
/// dialled together.
const JITTER: f64 = 0.5;

/// Where a stream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Away,
    /// The stream stands; what the proxy holds is being asked.
    Asking,
    Joined,
}

/// What an answer on the stream will be to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingRequest {
    Prompt,
    /// Whether the proxy lets this pilot order, or a later one has taken over.
    Epoch,
    /// Whether it holds what it held when its last stream ended.
    Digest,
    States,
    Map,
    Order,
    Stat,
}

pub struct ProxySession {
    pub at: ProxyConfig,
    pub stage: Stage,
    /// Streams are numbered: what is heard of an earlier one is not heard.
    pub stream: u64,
    pub since: Duration,
    pub book: ProxyLedger,
    /// What it held when its last stream ended.
    pub kept: Option<ProxyLedger>,
    pub counters: Counters,
    /// Questions on their way, each with the time when it was sent.
    pub asked: VecDeque<(PendingRequest, Duration)>,
    pub states: Vec<StateRow>,
    pub last_answer: Option<Duration>,
    pub breaks: u64,
    pub why: String,
    wait: Duration,
}

impl ProxySession {
    pub fn new(at: ProxyConfig) -> Self {
        ProxySession {
            at,
            stage: Stage::Away,
            stream: 0,
            since: Duration::ZERO,
            book: ProxyLedger::default(),
            kept: None,
            counters: Counters::default(),
            asked: VecDeque::new(),
            states: Vec::new(),
            last_answer: None,
            breaks: 0,
            why: "not dialled yet".into(),
            wait: Duration::ZERO,
        }
    }

    /// How long to wait before the next dial: longer each time, unless the last stream stood well.
    pub fn redial(&mut self, now: Duration, backoff: BackoffRange, chance: &mut WyRand) -> Duration {
        let stood = self.stage == Stage::Joined && now.saturating_sub(self.since) > backoff.max;
        self.wait = if stood { backoff.min } else { (self.wait * 2).clamp(backoff.min, backoff.max) };
        let draw = f64::from(chance.generate::<u32>()) / f64::from(u32::MAX);
        self.wait.mul_f64(1.0 - JITTER * draw)
    }

    /// The stream is gone, and with it all that was on its way.
    pub fn leave(&mut self, now: Duration, why: &str) {
        let book = std::mem::take(&mut self.book);
        if self.stage == Stage::Joined {
            self.kept = Some(book.kept());
        }
        self.stage = Stage::Away;
        self.since = now;
        self.stream += 1;
        self.counters = Counters::default();
        self.asked.clear();
        self.breaks += 1;
        self.why = why.into();
    }

    pub fn ask(&mut self, what: PendingRequest, now: Duration) {
        self.asked.push_back((what, now));
    }

    /// # Errors
    /// What the proxy says is no sheet of states.
    pub fn take_states(&mut self, answer: &str) -> Result<(), String> {
        self.states = read_states(answer).map_err(|error| error.to_string())?;
        Ok(())
    }
}
