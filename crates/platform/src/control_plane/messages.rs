//! Messages from proxies and collectors. Each line is checked against the role of its connection and passed on to the
//! controller.

use std::time::Duration;

use tracing::debug;

use super::ControlPlane;
use super::sessions::Role;
use crate::connection_admission::ConnectionId;
use crate::control_plane::Effect;
use crate::inbound::{
    AttemptReport, InboundMessage, MAX_FIRST_MESSAGE_BYTES, MAX_MESSAGE_BYTES, MessageContext, MessageError,
    RequestReport, parse_message,
};
use crate::outbound::HEARTBEAT_REPLY;

impl ControlPlane {
    /// Returns the maximum length of a line on this connection, in bytes.
    #[must_use]
    pub fn max_line_bytes(&self, connection: ConnectionId) -> usize {
        match self.roles.get(&connection) {
            Some(Role::Unattached) | None => MAX_FIRST_MESSAGE_BYTES,
            Some(Role::Collector(_) | Role::Proxy(_)) => MAX_MESSAGE_BYTES,
        }
    }

    /// Handles a line that was received on a connection, given without its terminator. Lines of a connection that has
    /// ended are ignored.
    pub fn line_received(&mut self, now: Duration, connection: ConnectionId, line: &[u8]) {
        let Some(role) = self.roles.get(&connection).copied() else { return };
        let context =
            MessageContext { names: &self.names, endpoints: &self.endpoints, limits: &self.report_limits };
        match parse_message(line, &context) {
            Ok(InboundMessage::Heartbeat) => self.answer_heartbeat(connection),
            Ok(message) if role == Role::Unattached => self.attach(now, connection, message),
            Ok(message) => self.handle_report(now, connection, role, message),
            Err(error) => self.handle_invalid_message(connection, role, &error),
        }
    }

    fn answer_heartbeat(&mut self, connection: ConnectionId) {
        self.effects.push_back(Effect::Write { connection, text: HEARTBEAT_REPLY.into() });
    }

    /// Handles the first message of a connection that is not a heartbeat.
    fn attach(&mut self, now: Duration, connection: ConnectionId, message: InboundMessage) {
        match message {
            InboundMessage::CollectorAttach { zone } => self.attach_collector(connection, zone),
            InboundMessage::ProxyAttach(proxy) => self.attach_proxy(now, connection, &proxy),
            _ => self.reject(connection, "reports come after a joining"),
        }
    }

    /// Handles a message of an attached collector or proxy. Collectors may report the requests of any proxy, a proxy
    /// only its own.
    fn handle_report(
        &mut self,
        now: Duration,
        connection: ConnectionId,
        role: Role,
        message: InboundMessage,
    ) {
        match (message, role) {
            (InboundMessage::AttemptReport(report), Role::Collector(_)) => {
                self.handle_attempt_report(now, &report);
            }
            (InboundMessage::RequestReport(report), Role::Collector(_)) => {
                self.handle_request_report(&report);
            }
            (InboundMessage::RequestReport(report), Role::Proxy(proxy)) if report.proxy == proxy => {
                self.handle_request_report(&report);
            }
            (InboundMessage::Acknowledgement { proxy, nonce }, Role::Proxy(sender)) if proxy == sender => {
                match self.streams.get_mut(&proxy).and_then(|stream| stream.acknowledge(nonce)) {
                    Some(sent) => self.controller.record_acknowledged(sent.channel_position, sent.entries),
                    None => self.drop_message(connection, "nonce is not pending"),
                }
            }
            _ => self.drop_message(connection, "message is not allowed for this role"),
        }
    }

    fn handle_attempt_report(&mut self, now: Duration, report: &AttemptReport) {
        self.counters.reports += 1;
        let AttemptReport { endpoint, attempts, failed, mean_latency } = *report;
        let name = self.endpoints.name(endpoint);
        let latency_ms = mean_latency.as_millis() as u64;
        debug!(target: "lockcroft::report", endpoint = name, attempts, failed, latency_ms, "received attempt report");
        self.controller.record_attempts(now, endpoint, attempts, failed, mean_latency);
    }

    fn handle_request_report(&mut self, report: &RequestReport) {
        self.counters.reports += 1;
        let RequestReport { proxy, class, requests } = *report;
        debug!(target: "lockcroft::report", proxy, class, requests, "received request report");
        self.controller.record_requests(proxy, class, requests);
    }

    /// Closes the connection if the message is unreadable or the connection is unattached, else drops the message.
    fn handle_invalid_message(&mut self, connection: ConnectionId, role: Role, error: &MessageError) {
        let reason = error.to_string();
        if role == Role::Unattached || error.is_unreadable() {
            self.reject(connection, &reason);
        } else {
            self.drop_message(connection, &reason);
        }
    }

    fn drop_message(&mut self, connection: ConnectionId, reason: &str) {
        self.counters.invalid_messages += 1;
        debug!(target: "lockcroft::input", connection, reason, "message dropped");
    }
}
