//! Message pacing: whether an update may open a message of its own, or waits to share one with others.
//!
//! Decides, from the recent messages to a proxy, whether it can still get further messages at a steady interval
//! after one now (as with a token bucket whose tokens return when old messages leave the window). If not, an
//! update waits for a message that is sent anyway. A drain waits no longer than its grace period allows, so
//! the limit on messages is never used up by drains that could have been sent together.

use std::time::Duration;

use crate::Settings;
use crate::publish::Priority;

/// Fraction of the limit on messages that may be used at once. The rest is spread over the window.
const BURST_FRACTION: f64 = 0.5;
/// Fraction of the remaining drain grace period for which a drain may wait.
const MAX_WAIT_FRACTION: f64 = 0.75;
/// Multiple of the mean delay of messages that even a slow message does not exceed.
const MAX_DELAY_FACTOR: u32 = 3;

/// The limit on messages and the times that follow from it.
#[derive(Clone, Copy, Debug)]
pub struct MessagePacing {
    /// The number of messages that a proxy may get within the window, including urgent ones.
    limit: usize,
    window: Duration,
    /// The interval at which messages must remain possible.
    interval: Duration,
    /// The longest time for which a drain waits while the queue is empty.
    max_wait: Duration,
}

impl MessagePacing {
    /// Returns the pacing for these settings; `None` if messages are not limited.
    pub fn new(settings: &Settings) -> Option<Self> {
        let fleet = &settings.fleet;
        let limit = fleet.max_messages * Priority::Drain.limit_fraction();
        if !limit.is_finite() || limit <= 0.0 {
            return None;
        }
        let interval = fleet.message_window.div_f64(limit * (1.0 - BURST_FRACTION));
        let longest_delay = fleet.message_delay * MAX_DELAY_FACTOR;
        let wait_in_grace = |grace: Duration| grace.saturating_sub(longest_delay).mul_f64(MAX_WAIT_FRACTION);
        let max_wait =
            settings.rules.drain_grace.map_or(interval, |grace| interval.min(wait_in_grace(grace)));
        Some(MessagePacing { limit: limit.ceil() as usize, window: fleet.message_window, interval, max_wait })
    }

    /// Returns true if a proxy with messages at these times, sorted and all within the window, can get a message
    /// at `now` and one per interval from then on.
    pub fn is_sustainable(&self, now: Duration, messages: impl ExactSizeIterator<Item = Duration>) -> bool {
        let Some(free) = self.limit.checked_sub(messages.len() + 1) else { return false };
        // Once the free messages are used up, each further one needs an older one to have left the window.
        messages.enumerate().all(|(index, sent_at)| {
            let needed_after = self.interval * (free + index + 1) as u32;
            sent_at + self.window <= now + needed_after
        })
    }

    /// Returns the time at which a drain that has been pending since the given time may wait no longer, if the
    /// queue delays it by `queue_delay`.
    pub fn due_at(&self, pending_since: Duration, queue_delay: Duration) -> Duration {
        pending_since + self.max_wait.saturating_sub(queue_delay)
    }
}
