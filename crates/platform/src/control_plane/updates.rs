//! Sends updates to proxies. All changes of one decision go out as one message to each affected proxy.
//!
//! Messages with a complete table and the last message of a batch carry a nonce. The platform's channel forwards
//! messages in the order in which it has received them completely, so an acknowledgement shows that this message and
//! all messages of earlier batches have left the channel.

use std::collections::{BTreeMap, BTreeSet};

use lockcroft::{Controller, ProxyId};
use tracing::debug;

use super::{ControlPlane, Effect};
use crate::assigned_table::PublishedView;
use crate::connection_admission::ConnectionId;
use crate::outbound::{NONCE_COUNT, UpdatePart, encode_message};
use crate::proxy_stream::{ProxyStream, SentNonce};

/// Generates the nonces of all streams.
#[derive(Debug, Default)]
pub(super) struct NonceSequence {
    next: u64,
}

impl NonceSequence {
    fn allocate(&mut self) -> u64 {
        let nonce = self.next;
        self.next = (nonce + 1) % NONCE_COUNT;
        nonce
    }
}

/// A message to a proxy before encoding.
struct ProxyMessage<'a> {
    proxy: ProxyId,
    connection: ConnectionId,
    parts: Vec<UpdatePart<'a>>,
}

impl ProxyMessage<'_> {
    /// Returns the number of entries that the platform's channel counts for the message, without its fixed overhead.
    fn channel_entries(&self, class_count: usize) -> usize {
        self.parts.iter().map(|part| part.channel_entries(class_count)).sum()
    }

    fn replaces_table(&self) -> bool {
        self.parts.iter().any(|part| part.replaces_table)
    }

    fn nonce(&self) -> Option<u64> {
        self.parts.last().and_then(|part| part.nonce)
    }

    fn set_nonce(&mut self, nonce: u64) {
        if let Some(part) = self.parts.last_mut() {
            part.nonce = Some(nonce);
        }
    }
}

impl ControlPlane {
    /// Sends each pending proxy the changes since its last message.
    pub(super) fn send_updates(&mut self) {
        let view = PublishedView {
            published: &self.published,
            endpoints: &self.endpoints,
            class_names: &self.names.classes,
        };
        let pending = std::mem::take(&mut self.pending_proxies);
        let mut messages = take_messages(pending, &mut self.streams, &view, &self.controller);
        add_nonces(&mut messages, &mut self.nonces);
        if messages.is_empty() {
            return;
        }
        let class_count = self.names.classes.len();
        let entries = messages.iter().map(|message| message.channel_entries(class_count)).sum();
        let channel_position = self.controller.record_sent(messages.len(), entries);
        for message in messages {
            let entries = message.channel_entries(class_count);
            let sent = message.nonce().map(|nonce| SentNonce { nonce, channel_position, entries });
            if let (Some(sent), Some(stream)) = (sent, self.streams.get_mut(&message.proxy)) {
                stream.record_nonce(sent);
            }
            self.counters.messages += 1;
            self.counters.parts += message.parts.len() as u64;
            let text = encode_message(message.parts);
            debug!(
                target: "lockcroft::update",
                proxy = message.proxy, entries, bytes = text.len(), "sent update"
            );
            self.effects.push_back(Effect::Write { connection: message.connection, text });
        }
    }
}

/// Returns the messages to these proxies, ordered by proxy. A proxy whose previous message is still being written gets
/// none: its next message is built from the published state when the write completes.
fn take_messages<'a>(
    proxies: BTreeSet<ProxyId>,
    streams: &mut BTreeMap<ProxyId, ProxyStream>,
    view: &PublishedView<'a>,
    controller: &Controller,
) -> Vec<ProxyMessage<'a>> {
    let mut messages = Vec::new();
    for proxy in proxies {
        let Some(stream) = streams.get_mut(&proxy).filter(|stream| !stream.is_writing) else { continue };
        let parts = stream.next_message(view, controller);
        if !parts.is_empty() {
            stream.is_writing = true;
            messages.push(ProxyMessage { proxy, connection: stream.connection, parts });
        }
    }
    messages
}

/// Adds a nonce to the last message and to each message with a complete table.
fn add_nonces(messages: &mut [ProxyMessage], nonces: &mut NonceSequence) {
    let last = messages.len().saturating_sub(1);
    for (index, message) in messages.iter_mut().enumerate() {
        if index == last || message.replaces_table() {
            message.set_nonce(nonces.allocate());
        }
    }
}
