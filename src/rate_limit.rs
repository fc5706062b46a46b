//! Rate limit of updates: how many table entries may wait in the channel to the proxies.
//!
//! Decides, from the entries sent, the stated speed of the channel and acknowledgements, whether an update
//! may go out now. Each priority may fill a fraction of the limits on queue and messages, so that urgent
//! updates find room. The channel is taken to be slower than stated, as it is when things fail; once
//! acknowledgements come, they tell.

use std::time::Duration;

use crate::FleetSettings;
use crate::proxies::{NewMessages, ProxySet, Recipients};
use crate::publish::Priority;

/// The channel is taken to be so much slower than stated,
const PESSIMISTIC_SLOWDOWN: f64 = 8.0;
/// and so much for urgent updates: a wave of drains would else wait for what may never be true.
const URGENT_SLOWDOWN: f64 = 4.0;

/// Entries that wait in the channel, if it is as slow as assumed.
#[derive(Clone, Copy, Default)]
struct QueueEstimate {
    pessimistic: f64,
    urgent: f64,
}

impl QueueEstimate {
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

/// A single message that was acknowledged.
struct AcknowledgedMessage {
    /// The entries sent before the time at which it was sent.
    position: f64,
    entries: f64,
}

/// The channel that carries updates to all proxies. What goes out at one time travels together, as one
/// message to each proxy.
#[derive(Default)]
pub struct UpdateChannel {
    estimate: QueueEstimate,
    /// Entries that wait by the host's own count, where it has one.
    reported: Option<f64>,
    /// Entries sent since the start.
    sent: f64,
    /// Those of them that are known to have left the channel, by the times at which they were sent.
    acknowledged: f64,
    /// Messages that have left, of times that are not known to have left as a whole.
    acknowledged_messages: Vec<AcknowledgedMessage>,
    /// Entries sent up to the last position that was given out.
    position: f64,
    /// The time of the estimate.
    as_of: Duration,
    /// Whom the updates of this time went to.
    messaged: Vec<Recipients>,
}

impl UpdateChannel {
    /// Reserves capacity for an update of this many entries to each recipient.
    ///
    /// # Errors
    /// The queue or a proxy's messages would then fill more than the priority's fraction of the limits.
    pub fn try_reserve(
        &mut self,
        proxies: &mut ProxySet,
        limits: &FleetSettings,
        now: Duration,
        update: Reservation,
    ) -> Result<(), NoCapacity> {
        let Reservation { entries, recipients, priority } = update;
        let queue = self.queued(now, limits.max_entries_per_second);
        let queued = if priority < Priority::Drain { queue.pessimistic } else { queue.urgent };
        let is_new = !self.messaged.contains(&recipients);
        let new = if is_new {
            proxies.new_messages(recipients, now, limits.message_window)
        } else {
            NewMessages::default()
        };
        let cost =
            (entries * proxies.count(recipients)) as f64 + new.count as f64 * limits.message_overhead_entries;
        let max_queued = limits.max_queued_entries * priority.limit_fraction();
        // Messages run short sooner than the queue: those of urgent updates leave some to all others.
        let max_messages = limits.max_messages * priority.max(Priority::Assignment).limit_fraction();
        let too_many_messages = new.count > 0 && new.max_recent as f64 >= max_messages;
        if too_many_messages || cost > max_queued {
            return Err(NoCapacity::ForThis);
        }
        if queued + cost > max_queued {
            return Err(NoCapacity::InQueue);
        }
        self.add(cost);
        if is_new {
            proxies.record_messages(recipients, now);
            if !matches!(recipients, Recipients::Proxy(_)) {
                self.messaged.push(recipients);
            }
        }
        Ok(())
    }

    /// The host counts this many entries as waiting; a proxy that has stalled takes none.
    pub fn set_queued(&mut self, entries: f64) {
        self.reported = Some(entries);
    }

    /// This many entries went out since the last call, whatever was reserved for them. Gives the position
    /// that acknowledgements of these messages refer to: what was sent before them, as messages of one time
    /// may enter the channel in any order.
    pub fn record_sent(&mut self, entries: f64) -> f64 {
        let before = self.position;
        self.add(entries - (self.sent - before));
        self.position = self.sent;
        before
    }

    /// A message was acknowledged: what was sent before its time has left the channel, and of its time this
    /// message.
    pub fn record_acknowledged(&mut self, position: f64, entries: f64) {
        self.acknowledged = self.acknowledged.max(position);
        self.acknowledged_messages.push(AcknowledgedMessage { position, entries });
        self.acknowledged_messages.retain(|message| message.position >= self.acknowledged);
    }

    fn queued(&mut self, now: Duration, entries_per_second: f64) -> QueueEstimate {
        let elapsed = now - self.as_of;
        if now != self.as_of {
            self.messaged.clear();
        }
        self.estimate.drain(elapsed, entries_per_second);
        self.as_of = now;
        let mut queue = self.estimate;
        if self.position > 0.0 {
            // Acknowledgements are true and late: they take the place of the hopeful estimate only.
            let known = queue.pessimistic.min(self.unacknowledged());
            queue = QueueEstimate { pessimistic: known, urgent: known };
        }
        let reported = self.reported.unwrap_or(0.0);
        QueueEstimate { pessimistic: queue.pessimistic.max(reported), urgent: queue.urgent.max(reported) }
    }

    fn unacknowledged(&self) -> f64 {
        let single: f64 = self.acknowledged_messages.iter().map(|message| message.entries).sum();
        (self.sent - self.acknowledged - single).max(0.0)
    }

    fn add(&mut self, entries: f64) {
        self.sent += entries;
        self.estimate.add(entries);
        self.reported = self.reported.map(|reported| reported + entries);
    }
}

/// Why an update can't go out now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoCapacity {
    /// The queue is too full; it has capacity once it drains.
    InQueue,
    /// Its recipients have had too many messages, or it is too large: others may go out all the same.
    ForThis,
}

/// What an update asks of the channel.
#[derive(Clone, Copy)]
pub struct Reservation {
    /// Entries for each recipient.
    pub entries: usize,
    pub recipients: Recipients,
    pub priority: Priority,
}
