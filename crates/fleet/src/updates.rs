//! Updates of proxies: sent when the decisions changed something, and acknowledged by the responses to them.

use std::time::Duration;

use lockcroft::ProxyId;
use tracing::debug;

use crate::error::SessionError;
use crate::fleet_controller::FleetController;
use crate::proxy_session::PendingRequest;
use crate::update_context::UpdateContext;
use crate::update_in_flight::{AcknowledgedUpdate, UpdateMessage};

/// So many messages are written before the host takes them to its sockets.
const MAX_MESSAGES_PER_RUN: usize = 32;

impl FleetController {
    /// All that was decided at one time goes out as one message to each proxy concerned; one that has not answered
    /// its last message gets the next with its answer. In a storm the first proxies have their messages, and work
    /// on them, while those of the others are still being written.
    pub(crate) fn send_updates(&mut self, now: Duration) {
        for _ in 0..MAX_MESSAGES_PER_RUN {
            let Some(proxy) = self.to_update.pop_first() else { return };
            if let Some(message) = self.next_message(proxy) {
                self.send_update(now, proxy, message);
            }
        }
    }

    fn next_message(&mut self, proxy: ProxyId) -> Option<UpdateMessage> {
        let context = UpdateContext {
            published: &self.published,
            endpoints: &self.endpoints,
            classes: &self.names.classes,
            weight_scale: self.weight_scale,
        };
        let session = &mut self.sessions[proxy];
        if session.is_attached() { session.ledger.next_message(&context) } else { None }
    }

    fn send_update(&mut self, now: Duration, proxy: ProxyId, message: UpdateMessage) {
        let UpdateMessage { text, commands, entries, batch } = message;
        self.totals.messages += 1;
        self.totals.entries += entries as u64;
        let session = &mut self.sessions[proxy];
        debug!(target: "lockcroft::update", wave = batch, proxy = session.config.name, entries, commands, "sent");
        for _ in 0..commands {
            session.push_request(PendingRequest::Update, now);
        }
        self.write(now, proxy, text);
    }

    /// Takes the response to one command of an update.
    ///
    /// # Errors
    /// The proxy did not carry the command out.
    pub(crate) fn acknowledge(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        response: &str,
    ) -> Result<(), SessionError> {
        let session = &mut self.sessions[proxy];
        let acknowledged = session.ledger.acknowledge(response)?;
        if session.ledger.is_commit_due() {
            self.to_update.insert(proxy);
        }
        if let Some(AcknowledgedUpdate { since, batch, entries }) = acknowledged {
            let us = now.saturating_sub(since).as_micros() as u64;
            debug!(target: "lockcroft::acknowledgement", wave = batch, proxy = session.config.name, entries, us,
                "answered");
            self.acknowledgement_latency.saturating_record(us);
            self.to_update.insert(proxy);
        }
        Ok(())
    }
}
