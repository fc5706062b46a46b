//! One proxy's connection: connecting, reading what the proxy holds, attached; and what is outstanding on it.

use std::collections::VecDeque;
use std::time::Duration;

use lockcroft_config::{BackoffRange, ProxyConfig};
use lockcroft_runtime_api::tables::{ServerStateRow, read_server_states};
use nanorand::{Rng, WyRand};

use crate::applied_state::AppliedState;
use crate::error::SessionError;
use crate::proxy_counters::Counters;
use crate::proxy_ledger::ProxyLedger;

/// Waits between attempts to connect are shortened by up to this fraction, so that proxies which were lost
/// together are not connected together.
const MAX_JITTER: f64 = 0.5;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPhase {
    /// There is no connection.
    Disconnected,
    /// There is a connection, and the proxy is asked what it holds.
    Reconciling,
    /// What the proxy holds is known, and it takes part in the decisions.
    Attached,
}

/// What an outstanding command asked for; responses come in the order of the commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingRequest {
    /// Interactive mode, so that the connection stays open.
    Prompt,
    /// Whether the proxy accepts this controller, or a later one has taken over.
    Epoch,
    /// Whether the proxy holds what it held when its last connection ended.
    Digest,
    /// Its table entries.
    States,
    /// Its map of classes to tables.
    Map,
    /// One command of an update.
    Update,
    /// Its counters.
    Statistics,
}

/// A command that was sent and not answered yet.
#[derive(Clone, Copy, Debug)]
pub struct OutstandingRequest {
    pub request: PendingRequest,
    pub sent_at: Duration,
}

pub struct ProxySession {
    pub config: ProxyConfig,
    pub phase: SessionPhase,
    /// Connections are numbered: what arrives late from an earlier one is ignored.
    pub connection: u64,
    /// Since when the phase has lasted.
    pub since: Duration,
    pub ledger: ProxyLedger,
    /// What the proxy held when its last connection ended.
    pub last_applied: Option<AppliedState>,
    pub counters: Counters,
    pub outstanding: VecDeque<OutstandingRequest>,
    /// The table entries that were read, until the map is read too.
    pub states: Vec<ServerStateRow>,
    pub last_response_at: Option<Duration>,
    pub disconnects: u64,
    /// Why the last connection ended, or was not made.
    pub reason: String,
    backoff: Duration,
}

impl ProxySession {
    pub fn new(config: ProxyConfig) -> Self {
        ProxySession {
            config,
            phase: SessionPhase::Disconnected,
            connection: 0,
            since: Duration::ZERO,
            ledger: ProxyLedger::default(),
            last_applied: None,
            counters: Counters::default(),
            outstanding: VecDeque::new(),
            states: Vec::new(),
            last_response_at: None,
            disconnects: 0,
            reason: "not dialled yet".into(),
            backoff: Duration::ZERO,
        }
    }

    pub fn is_attached(&self) -> bool {
        self.phase == SessionPhase::Attached
    }

    /// Whether updates go to it as commands: it is attached, and does not read table files.
    pub fn takes_commands(&self) -> bool {
        self.is_attached() && !self.config.reads_files
    }

    /// How long to wait before the next attempt to connect: exponential backoff with jitter, which starts anew if
    /// the last connection lasted for longer than the longest wait.
    pub fn next_backoff(&mut self, now: Duration, range: BackoffRange, rng: &mut WyRand) -> Duration {
        let was_stable = self.is_attached() && now.saturating_sub(self.since) > range.max;
        self.backoff = if was_stable { range.min } else { (self.backoff * 2).clamp(range.min, range.max) };
        let draw = f64::from(rng.generate::<u32>()) / f64::from(u32::MAX);
        self.backoff.mul_f64(1.0 - MAX_JITTER * draw)
    }

    /// The connection is gone, and with it all that was outstanding on it.
    pub fn disconnect(&mut self, now: Duration, reason: &str) {
        let ledger = std::mem::take(&mut self.ledger);
        if self.is_attached() {
            self.last_applied = Some(ledger.into_applied());
        }
        self.phase = SessionPhase::Disconnected;
        self.since = now;
        self.connection += 1;
        self.counters = Counters::default();
        self.outstanding.clear();
        self.disconnects += 1;
        self.reason = reason.into();
    }

    pub fn push_request(&mut self, request: PendingRequest, now: Duration) {
        self.outstanding.push_back(OutstandingRequest { request, sent_at: now });
    }

    /// Takes the proxy's table entries, until its map is read too.
    ///
    /// # Errors
    /// The response is no table of states.
    pub fn take_states(&mut self, response: &str) -> Result<(), SessionError> {
        self.states =
            read_server_states(response).map_err(|error| SessionError::MalformedTable(error.to_string()))?;
        Ok(())
    }
}
