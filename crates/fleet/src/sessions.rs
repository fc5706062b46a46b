//! The proxies' connections: made and broken, what arrives on them, and responses that are overdue.

use std::time::Duration;

use lockcroft::ProxyId;
use tracing::{info, warn};

use crate::applied_state::AppliedState;
use crate::effect::Effect;
use crate::error::SessionError;
use crate::fleet_controller::{FleetController, Timer};
use crate::proxy_counters::Counters;
use crate::proxy_ledger::ProxyLedger;
use crate::proxy_session::{PendingRequest, SessionPhase};

/// The golden ratio's fraction: its multiples are spread evenly over any period.
const GOLDEN_FRACTION: f64 = 0.618_034;

const GET_DIGEST: &str = "get var proc.digest\n";
const SHOW_TABLES: &str = "show servers state; show map classes\n";
const SHOW_STATISTICS: &str = "show stat\n";

impl FleetController {
    /// What arrives late from an earlier connection is ignored.
    fn is_current(&self, proxy: ProxyId, connection: u64) -> bool {
        self.sessions[proxy].connection == connection
    }

    /// A connection was made: the proxy is asked what it holds before anything is sent to it.
    pub fn connected(&mut self, now: Duration, proxy: ProxyId, connection: u64) {
        self.now = now;
        if !self.is_current(proxy, connection) {
            return;
        }
        let session = &mut self.sessions[proxy];
        session.phase = SessionPhase::Reconciling;
        session.since = now;
        // What a proxy that reads files holds changes without its connection, and is always read anew.
        if session.config.reads_files {
            session.last_applied = None;
        }
        session.push_request(PendingRequest::Prompt, now);
        session.push_request(PendingRequest::Epoch, now);
        // A proxy that was known is asked first whether anything changed while it was away.
        let question = if session.last_applied.is_some() {
            session.push_request(PendingRequest::Digest, now);
            GET_DIGEST
        } else {
            session.push_request(PendingRequest::States, now);
            session.push_request(PendingRequest::Map, now);
            SHOW_TABLES
        };
        let epoch = u128::from(self.epoch) + now.as_millis();
        let text = format!("prompt i\nset var proc.epoch int({epoch})\n{question}");
        self.write(now, proxy, text);
    }

    /// A connection could not be made, or broke.
    pub fn disconnected(&mut self, now: Duration, proxy: ProxyId, connection: u64, reason: &str) {
        self.now = now;
        if !self.is_current(proxy, connection) {
            return;
        }
        let session = &mut self.sessions[proxy];
        let was_attached = session.is_attached();
        let is_new_reason = session.reason != reason;
        let after = session.next_backoff(now, self.reconnect_backoff, &mut self.rng);
        session.disconnect(now, reason);
        let connection = session.connection;
        if was_attached || is_new_reason {
            let name = session.config.name.clone();
            warn!(target: "lockcroft::input", wave = self.batch, proxy = name, reason, "left");
            self.add_event(&format!("proxy {name} left: {reason}"));
        }
        if was_attached {
            for proxies in self.attached_by_table.values_mut() {
                proxies.remove(&proxy);
            }
            self.controller.detach_proxy(proxy);
        }
        self.effects.push_back(Effect::Close { proxy });
        self.effects.push_back(Effect::Connect { proxy, connection, after });
    }

    /// The response to the oldest outstanding command. One that is not as expected breaks the connection.
    pub fn response_received(&mut self, now: Duration, proxy: ProxyId, connection: u64, response: &str) {
        self.now = now;
        if !self.is_current(proxy, connection) {
            return;
        }
        if let Err(error) = self.handle_response(now, proxy, response) {
            self.disconnected(now, proxy, connection, &error.to_string());
        }
    }

    fn handle_response(&mut self, now: Duration, proxy: ProxyId, response: &str) -> Result<(), SessionError> {
        let session = &mut self.sessions[proxy];
        session.last_response_at = Some(now);
        let outstanding = session.outstanding.pop_front().ok_or(SessionError::UnexpectedResponse)?;
        match outstanding.request {
            PendingRequest::Prompt => {}
            PendingRequest::Epoch => {
                if response.starts_with("Superseded") {
                    return Err(SessionError::Superseded(response.trim().into()));
                }
            }
            PendingRequest::Digest => self.compare_digest(now, proxy, response),
            PendingRequest::States => session.take_states(response)?,
            PendingRequest::Map => {
                let states = std::mem::take(&mut session.states);
                let applied = AppliedState::read(&states, response, &mut self.endpoints, &self.names.classes);
                self.attach(now, proxy, applied);
            }
            PendingRequest::Update => self.acknowledge(now, proxy, response)?,
            PendingRequest::Statistics => self.take_statistics(now, proxy, response)?,
        }
        Ok(())
    }

    /// A proxy that still holds what it held is attached at once; any other is asked for all that it holds.
    fn compare_digest(&mut self, now: Duration, proxy: ProxyId, response: &str) {
        let session = &mut self.sessions[proxy];
        let reported: Option<i64> = response.split(['<', '>']).nth(1).and_then(|value| value.parse().ok());
        let expected = |applied: &AppliedState| applied.digest(&self.endpoints, &self.names.classes);
        match session.last_applied.take().filter(|applied| reported == Some(expected(applied))) {
            Some(applied) => self.attach(now, proxy, applied),
            None => {
                session.push_request(PendingRequest::States, now);
                session.push_request(PendingRequest::Map, now);
                self.write(now, proxy, SHOW_TABLES.into());
            }
        }
    }

    fn attach(&mut self, now: Duration, proxy: ProxyId, applied: AppliedState) {
        let session = &mut self.sessions[proxy];
        session.ledger = ProxyLedger::from(applied);
        session.last_applied = None;
        session.counters = Counters::default();
        session.phase = SessionPhase::Attached;
        session.since = now;
        let has_no_table = session.ledger.has_no_table();
        let connection = session.connection;
        let name = session.config.name.clone();
        info!(target: "lockcroft::input", wave = self.batch, proxy = name, has_no_table, "joined");
        self.add_event(&format!("proxy {name} joined, fresh: {has_no_table}"));
        // Readings are spread over the period, so that the reports of a fleet come evenly.
        let offset = self.report_period.mul_f64((proxy as f64 * GOLDEN_FRACTION).fract());
        self.timers.insert((now + offset, Timer::CollectStatistics { proxy, connection }));
        let decided = self.decided_at(now);
        let session = &mut self.sessions[proxy];
        if session.takes_commands() {
            for endpoint in &self.published.ejected {
                session.ledger.mark_ejection(*endpoint, decided);
            }
            self.to_update.insert(proxy);
        }
        let (zone, request_rate) = (session.config.zone, session.config.request_rate);
        self.controller.attach_proxy(now, proxy, zone, request_rate, has_no_table);
    }

    pub(crate) fn expire_timers(&mut self, now: Duration) {
        while let Some((time, timer)) = self.timers.first().copied().filter(|(time, _)| *time <= now) {
            self.timers.remove(&(time, timer));
            match timer {
                Timer::ResponseTimeout { proxy, connection } => {
                    if self.is_current(proxy, connection) {
                        self.check_response_timeout(now, proxy, connection);
                    }
                }
                Timer::CollectStatistics { proxy, connection } => {
                    if self.is_current(proxy, connection) {
                        self.sessions[proxy].push_request(PendingRequest::Statistics, now);
                        self.write(now, proxy, SHOW_STATISTICS.into());
                    }
                }
            }
        }
    }

    /// Each command sets a timer of its own; for a command that was sent later one is already there.
    fn check_response_timeout(&mut self, now: Duration, proxy: ProxyId, connection: u64) {
        let Some(oldest) = self.sessions[proxy].outstanding.front() else { return };
        if oldest.sent_at + self.response_timeout <= now {
            self.disconnected(now, proxy, connection, &SessionError::ResponseTimeout.to_string());
        }
    }

    /// Writes commands whose requests are outstanding already.
    pub(crate) fn write(&mut self, now: Duration, proxy: ProxyId, text: String) {
        let connection = self.sessions[proxy].connection;
        self.timers.insert((now + self.response_timeout, Timer::ResponseTimeout { proxy, connection }));
        self.effects.push_back(Effect::Write { proxy, connection, text });
    }
}
