//! The session of one proxy: its connection, its phase, and the outstanding requests.

use std::collections::VecDeque;
use std::time::Duration;

use lockcroft_config::{BackoffRange, ProxyConfig};
use lockcroft_runtime_api::tables::{StateRow, read_states};
use nanorand::{Rng, WyRand};

use crate::applied_state::AppliedState;
use crate::error::SessionError;
use crate::proxy_counters::Counters;
use crate::proxy_ledger::ProxyLedger;

/// The maximum fraction by which the delay between attempts to connect is shortened at random, so that proxies that
/// were lost at the same time are not reconnected at the same time.
const MAX_JITTER: f64 = 0.5;

/// The phase of a proxy's session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPhase {
    /// There is no connection.
    Disconnected,
    /// There is a connection, and the state of the proxy is being read.
    Reconciling,
    /// The state of the proxy is known, and it takes part in the decisions.
    Attached,
}

/// The purpose of an outstanding command. Responses come in the order of the commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingRequest {
    /// Switch to interactive mode, so that the connection stays open.
    Prompt,
    /// Set the epoch, which the proxy refuses if a later controller has taken over.
    Epoch,
    /// Read the digest of the proxy's state, to compare it with the last acknowledged state.
    Digest,
    /// Read the table entries.
    States,
    /// Read the map of classes to tables.
    Map,
    /// Carry out one command of an update.
    Update,
    /// Read the counters.
    Statistics,
}

/// A command that was sent and has no response yet.
#[derive(Clone, Copy, Debug)]
pub struct OutstandingRequest {
    pub request: PendingRequest,
    pub sent_at: Duration,
}

/// The session of one proxy, across its connections.
pub struct ProxySession {
    pub config: ProxyConfig,
    pub phase: SessionPhase,
    /// The number of the connection. Late inputs of an earlier connection are ignored.
    pub connection: u64,
    /// When the phase began.
    pub phase_since: Duration,
    pub ledger: ProxyLedger,
    /// The acknowledged state when the proxy was last detached; `None` once it is attached again.
    pub last_applied: Option<AppliedState>,
    pub counters: Counters,
    pub outstanding: VecDeque<OutstandingRequest>,
    /// The table entries that were read, until the map is read as well.
    pub states: Vec<StateRow>,
    pub last_response_at: Option<Duration>,
    /// The number of lost connections and failed attempts to connect.
    pub disconnects: u64,
    /// The reason of the last disconnect or failed attempt.
    pub reason: String,
    /// The delay before the next attempt to connect, without jitter.
    backoff: Duration,
}

impl ProxySession {
    pub fn new(config: ProxyConfig) -> Self {
        ProxySession {
            config,
            phase: SessionPhase::Disconnected,
            connection: 0,
            phase_since: Duration::ZERO,
            ledger: ProxyLedger::default(),
            last_applied: None,
            counters: Counters::default(),
            outstanding: VecDeque::new(),
            states: Vec::new(),
            last_response_at: None,
            disconnects: 0,
            reason: "not connected yet".into(),
            backoff: Duration::ZERO,
        }
    }

    pub fn is_attached(&self) -> bool {
        self.phase == SessionPhase::Attached
    }

    /// Returns true if updates are sent to the proxy as commands: it is attached, and does not read table files.
    pub fn takes_commands(&self) -> bool {
        self.is_attached() && !self.config.reads_files
    }

    /// Returns the delay before the next attempt to connect: exponential backoff with jitter, which starts over if
    /// the proxy was attached for longer than the maximum delay.
    pub fn next_backoff(&mut self, now: Duration, range: BackoffRange, rng: &mut WyRand) -> Duration {
        let was_stable = self.is_attached() && now.saturating_sub(self.phase_since) > range.max;
        self.backoff = if was_stable { range.min } else { (self.backoff * 2).clamp(range.min, range.max) };
        let draw = f64::from(rng.generate::<u32>()) / f64::from(u32::MAX);
        self.backoff.mul_f64(1.0 - MAX_JITTER * draw)
    }

    /// Drops the connection with its outstanding requests, and keeps the acknowledged state of an attached proxy.
    pub fn disconnect(&mut self, now: Duration, reason: &str) {
        let ledger = std::mem::take(&mut self.ledger);
        if self.is_attached() {
            self.last_applied = Some(ledger.into_applied());
        }
        self.phase = SessionPhase::Disconnected;
        self.phase_since = now;
        self.connection += 1;
        self.counters = Counters::default();
        self.outstanding.clear();
        self.disconnects += 1;
        self.reason = reason.into();
    }

    /// Adds an outstanding request for a command that is being sent.
    pub fn push_request(&mut self, request: PendingRequest, now: Duration) {
        self.outstanding.push_back(OutstandingRequest { request, sent_at: now });
    }

    /// Reads the table entries from a response, and keeps them until the map is read as well.
    ///
    /// # Errors
    /// Returns an error if the response is not a table of server states.
    pub fn read_states(&mut self, response: &str) -> Result<(), SessionError> {
        self.states =
            read_states(response).map_err(|error| SessionError::MalformedTable(error.to_string()))?;
        Ok(())
    }
}
