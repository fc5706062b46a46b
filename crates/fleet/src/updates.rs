//! Updates of proxies: sends messages with pending changes, and handles their acknowledgements.

use std::time::Duration;

use lockcroft::ProxyId;
use tracing::debug;

use crate::error::SessionError;
use crate::fleet_controller::FleetController;
use crate::proxy_session::PendingRequest;
use crate::update_context::UpdateContext;
use crate::update_in_flight::{AcknowledgedUpdate, UpdateMessage};

/// The maximum number of messages written by one call of `run_actions`.
const MAX_MESSAGES_PER_RUN: usize = 32;

impl FleetController {
    /// Sends one message with all pending changes to each queued proxy without an update in flight; the others are
    /// queued again when they acknowledge theirs. The number of messages is limited, so that in a large batch the
    /// first proxies process their messages while the remaining ones are still being written.
    pub(crate) fn send_updates(&mut self, now: Duration) {
        for _ in 0..MAX_MESSAGES_PER_RUN {
            let Some(proxy) = self.update_queue.pop_first() else { return };
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
        debug!(target: "lockcroft::update", wave = batch, proxy = session.config.name, entries, commands,
            "sent update");
        for _ in 0..commands {
            session.push_request(PendingRequest::Update, now);
        }
        self.write(now, proxy, text);
    }

    /// Handles the response to one command of an update.
    ///
    /// # Errors
    /// Returns an error if the response was not expected, or if the proxy did not carry the command out.
    pub(crate) fn acknowledge_update(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        response: &str,
    ) -> Result<(), SessionError> {
        let session = &mut self.sessions[proxy];
        let acknowledged = session.ledger.acknowledge(response)?;
        if session.ledger.is_commit_due() {
            self.update_queue.insert(proxy);
        }
        if let Some(AcknowledgedUpdate { since, batch, entries }) = acknowledged {
            let us = now.saturating_sub(since).as_micros() as u64;
            debug!(target: "lockcroft::acknowledgement", wave = batch, proxy = session.config.name, entries, us,
                "received acknowledgement");
            self.acknowledgement_latency.saturating_record(us);
            self.update_queue.insert(proxy);
        }
        Ok(())
    }
}
