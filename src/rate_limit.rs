//! Rate limit of updates: the number of table entries that may wait in the channel to the proxies.
//!
//! Decides whether an update may be sent now, from the entries sent, the configured speed of the channel and
//! acknowledgements. Each priority may use a fraction of the limits on queue and messages, so that capacity
//! remains for urgent updates. The channel is assumed to be slower than configured, as it is during failures;
//! acknowledgements replace this assumption once they arrive.

use std::time::Duration;

use crate::FleetSettings;
use crate::message_pacing::MessagePacing;
use crate::proxies::{NewMessages, ProxySet, Recipients};
use crate::publish::Priority;

/// Factor by which the channel is assumed to be slower than configured.
const PESSIMISTIC_SLOWDOWN: f64 = 8.0;
/// The same factor for urgent updates. It is smaller, so that a batch of drains does not wait for entries
/// that may have left the queue already.
const URGENT_SLOWDOWN: f64 = 4.0;

/// The estimated number of entries that wait in the channel, at each of the two assumed speeds.
#[derive(Clone, Copy, Default)]
struct QueueEstimate {
    pessimistic: f64,
    urgent: f64,
}

impl QueueEstimate {
    /// Subtracts the entries that leave the channel within `elapsed`.
    fn drain(&mut self, elapsed: Duration, entries_per_second: f64) {
        let seconds = elapsed.as_secs_f64();
        let drained = |slowdown: f64| seconds * (entries_per_second / slowdown);
        self.pessimistic = (self.pessimistic - drained(PESSIMISTIC_SLOWDOWN)).max(0.0);
        self.urgent = (self.urgent - drained(URGENT_SLOWDOWN)).max(0.0);
    }

    fn add(&mut self, entries: f64) {
        self.pessimistic += entries;
        self.urgent += entries;
    }
}

/// An acknowledged message.
struct AcknowledgedMessage {
    /// The number of entries sent before the batch that it belongs to.
    position: f64,
    entries: f64,
}

/// The channel that carries updates to all proxies. Updates of the same time form a batch, which is sent as
/// one message to each proxy.
#[derive(Default)]
pub struct UpdateChannel {
    /// The pacing of messages to each proxy; `None` if their number is not limited.
    pacing: Option<MessagePacing>,
    estimate: QueueEstimate,
    /// The number of waiting entries by the host's own count, if it has one, plus those added since.
    reported: Option<f64>,
    /// The number of entries sent since the start, with reserved ones before they are sent.
    sent: f64,
    /// The number of these up to the newest batch position that was acknowledged; all have left the channel.
    acknowledged: f64,
    /// Acknowledged messages of batches that are not known to have left the channel completely.
    acknowledged_messages: Vec<AcknowledgedMessage>,
    /// The number of entries sent at the last call of `record_sent`.
    position: f64,
    /// The time of the estimate and of the current batch.
    estimated_at: Duration,
    /// The recipients of the updates in the current batch, single proxies excepted.
    messaged_recipients: Vec<Recipients>,
}

impl UpdateChannel {
    /// Returns a channel with no waiting entries and this pacing of messages.
    pub fn new(pacing: Option<MessagePacing>) -> Self {
        UpdateChannel { pacing, ..UpdateChannel::default() }
    }

    /// Reserves capacity for an update at `now`.
    ///
    /// # Errors
    /// Returns the reason if the queue or the messages of a recipient would exceed the priority's fraction of
    /// the limits. Nothing is reserved then.
    pub fn try_reserve(
        &mut self,
        proxies: &mut ProxySet,
        limits: &FleetSettings,
        now: Duration,
        update: Reservation,
    ) -> Result<(), NoCapacity> {
        let Reservation { entries, recipients, priority, .. } = update;
        let queue = self.queued(now, limits.max_entries_per_second);
        let queued = if priority < Priority::Drain { queue.pessimistic } else { queue.urgent };
        let is_new = !self.messaged_recipients.contains(&recipients);
        let new = if is_new {
            proxies.new_messages(recipients, now, limits.message_window, self.pacing.as_ref())
        } else {
            NewMessages::NONE
        };
        let cost =
            (entries * proxies.count(recipients)) as f64 + new.count as f64 * limits.message_overhead_entries;
        let max_queued = limits.max_queued_entries * priority.limit_fraction();
        // The limit on messages is reached before that on the queue, so urgent updates get no more of it than
        // assignments and leave some to all others.
        let max_messages = limits.max_messages * priority.max(Priority::Assignment).limit_fraction();
        let too_many_messages = new.count > 0 && new.max_recent as f64 >= max_messages;
        if too_many_messages || cost > max_queued {
            return Err(NoCapacity::ForUpdate);
        }
        if queued + cost > max_queued {
            return Err(NoCapacity::InQueue);
        }
        if !new.sustainable
            && let Some(due_at) = self.waits_until(&update, queued, limits)
            && now < due_at
        {
            return Err(NoCapacity::InMessages { due_at });
        }
        self.add(cost);
        if is_new {
            proxies.record_messages(recipients, now);
            if !matches!(recipients, Recipients::Proxy(_)) {
                self.messaged_recipients.push(recipients);
            }
        }
        Ok(())
    }

    /// Returns the time until which an update waits to share a message; `None` if it may not wait at all.
    fn waits_until(&self, update: &Reservation, queued: f64, limits: &FleetSettings) -> Option<Duration> {
        let pacing = self.pacing.as_ref()?;
        match update.priority {
            Priority::Common => Some(Duration::MAX),
            // A proxy without a table or a table without weight may have no endpoint to use.
            Priority::Assignment => None,
            Priority::Drain => {
                let queue_delay = Duration::from_secs_f64(queued / limits.max_entries_per_second);
                Some(pacing.due_at(update.pending_since, queue_delay))
            }
        }
    }

    /// Sets the number of entries that wait by the host's count, which includes those to stalled proxies.
    pub fn set_queued(&mut self, entries: f64) {
        self.reported = Some(entries);
    }

    /// Records the number of entries sent since the last call, which replaces the number reserved for them.
    /// Returns the position that acknowledgements of these messages refer to: the number of entries sent
    /// before them, as the messages of one batch may enter the channel in any order.
    pub fn record_sent(&mut self, entries: f64) -> f64 {
        let before = self.position;
        self.add(entries - (self.sent - before));
        self.position = self.sent;
        before
    }

    /// Records that a message was acknowledged. This message and all messages of earlier batches have left the
    /// channel; other messages of its batch may still wait.
    pub fn record_acknowledged(&mut self, position: f64, entries: f64) {
        self.acknowledged = self.acknowledged.max(position);
        self.acknowledged_messages.push(AcknowledgedMessage { position, entries });
        self.acknowledged_messages.retain(|message| message.position >= self.acknowledged);
    }

    /// Returns the number of waiting entries by estimate, acknowledgements and the host's count. A new time
    /// starts a new batch.
    fn queued(&mut self, now: Duration, entries_per_second: f64) -> QueueEstimate {
        let elapsed = now - self.estimated_at;
        if now != self.estimated_at {
            self.messaged_recipients.clear();
        }
        self.estimate.drain(elapsed, entries_per_second);
        self.estimated_at = now;
        let mut queue = self.estimate;
        if self.position > 0.0 {
            // Acknowledgements are exact but late, so they can lower the pessimistic estimate only; they
            // replace the one for urgent updates.
            let bounded = queue.pessimistic.min(self.unacknowledged());
            queue = QueueEstimate { pessimistic: bounded, urgent: bounded };
        }
        let reported = self.reported.unwrap_or(0.0);
        QueueEstimate { pessimistic: queue.pessimistic.max(reported), urgent: queue.urgent.max(reported) }
    }

    /// Returns the number of entries that were sent and not acknowledged.
    fn unacknowledged(&self) -> f64 {
        let acknowledged_singly: f64 = self.acknowledged_messages.iter().map(|message| message.entries).sum();
        (self.sent - self.acknowledged - acknowledged_singly).max(0.0)
    }

    fn add(&mut self, entries: f64) {
        self.sent += entries;
        self.estimate.add(entries);
        self.reported = self.reported.map(|reported| reported + entries);
    }
}

/// The reason why an update cannot be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoCapacity {
    /// The queue has no capacity until it drains.
    InQueue,
    /// Its recipients have had too many messages, or it is too large; other updates may still be sent.
    ForUpdate,
    /// Its recipients have had so many messages that it waits, until this time at most, to share one with
    /// other updates.
    InMessages { due_at: Duration },
}

/// The capacity that an update needs in the channel.
#[derive(Clone, Copy)]
pub struct Reservation {
    /// The number of entries for each recipient.
    pub entries: usize,
    pub recipients: Recipients,
    pub priority: Priority,
    /// The time since which the update is pending; used only if its priority is [`Priority::Drain`].
    pub pending_since: Duration,
}
