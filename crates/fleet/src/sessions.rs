//! Connections to proxies: connects and disconnects, responses, and response timeouts.

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

/// The fractional part of the golden ratio; the fractional parts of its multiples are spread evenly over 0 to 1.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_034;

const GET_DIGEST: &str = "get var proc.digest\n";
const SHOW_TABLES: &str = "show servers state; show map classes\n";
const SHOW_STATISTICS: &str = "show stat\n";

impl FleetController {
    /// Returns false for an earlier connection, whose late inputs are ignored.
    fn is_current(&self, proxy: ProxyId, connection: u64) -> bool {
        self.sessions[proxy].connection == connection
    }

    /// Handles a new connection: reads the state of the proxy before any update is sent.
    pub fn connected(&mut self, now: Duration, proxy: ProxyId, connection: u64) {
        self.now = now;
        if !self.is_current(proxy, connection) {
            return;
        }
        let session = &mut self.sessions[proxy];
        session.phase = SessionPhase::Reconciling;
        session.phase_since = now;
        // The state of a proxy that reads files changes while it is disconnected, and is always read in full.
        if session.config.reads_files {
            session.last_applied = None;
        }
        session.push_request(PendingRequest::Prompt, now);
        session.push_request(PendingRequest::Epoch, now);
        // A digest shows whether the state changed while the proxy was disconnected.
        let query = if session.last_applied.is_some() {
            session.push_request(PendingRequest::Digest, now);
            GET_DIGEST
        } else {
            session.push_request(PendingRequest::States, now);
            session.push_request(PendingRequest::Map, now);
            SHOW_TABLES
        };
        let epoch = u128::from(self.epoch) + now.as_millis();
        let text = format!("prompt i\nset var proc.epoch int({epoch})\n{query}");
        self.write(now, proxy, text);
    }

    /// Handles a failed attempt to connect or a lost connection, and schedules the next attempt.
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
            warn!(target: "lockcroft::input", wave = self.batch, proxy = name, reason, "proxy disconnected");
            self.add_event(&format!("proxy {name} disconnected: {reason}"));
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

    /// Handles the response to the oldest outstanding command. An unexpected response closes the connection.
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
            PendingRequest::States => session.read_states(response)?,
            PendingRequest::Map => {
                let states = std::mem::take(&mut session.states);
                let applied =
                    AppliedState::parse(&states, response, &mut self.endpoints, &self.names.classes);
                self.attach(now, proxy, applied);
            }
            PendingRequest::Update => self.acknowledge_update(now, proxy, response)?,
            PendingRequest::Statistics => self.record_statistics(now, proxy, response)?,
        }
        Ok(())
    }

    /// Attaches the proxy if its digest matches the last acknowledged state; otherwise reads its state in full.
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
        session.phase_since = now;
        let has_no_table = session.ledger.has_no_table();
        let connection = session.connection;
        let name = session.config.name.clone();
        info!(target: "lockcroft::input", wave = self.batch, proxy = name, has_no_table, "proxy attached");
        self.add_event(&format!("proxy {name} attached, without table: {has_no_table}"));
        // Readings of different proxies are spread evenly over the period.
        let offset = self.report_period.mul_f64((proxy as f64 * GOLDEN_RATIO_FRACTION).fract());
        self.timers.insert((now + offset, Timer::CollectStatistics { proxy, connection }));
        let decided = self.decided_at(now);
        let session = &mut self.sessions[proxy];
        if session.takes_commands() {
            for endpoint in &self.published.ejected {
                session.ledger.mark_ejection(*endpoint, decided);
            }
            self.update_queue.insert(proxy);
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

    /// Closes the connection if its oldest outstanding command has timed out. Each write sets a separate timer,
    /// so that none has to be set here for commands that were sent later.
    fn check_response_timeout(&mut self, now: Duration, proxy: ProxyId, connection: u64) {
        let Some(oldest) = self.sessions[proxy].outstanding.front() else { return };
        if oldest.sent_at + self.response_timeout <= now {
            self.disconnected(now, proxy, connection, &SessionError::ResponseTimeout.to_string());
        }
    }

    /// Writes commands to a proxy and sets their response timeout. The caller has added their outstanding requests.
    pub(crate) fn write(&mut self, now: Duration, proxy: ProxyId, text: String) {
        let connection = self.sessions[proxy].connection;
        self.timers.insert((now + self.response_timeout, Timer::ResponseTimeout { proxy, connection }));
        self.effects.push_back(Effect::Write { proxy, connection, text });
    }
}
