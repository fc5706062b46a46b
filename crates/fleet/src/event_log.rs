//! The most recent events and actions, for `show events`.

use std::collections::VecDeque;
use std::time::Duration;

/// The number of lines that are kept; older ones are dropped.
const MAX_LINES: usize = 2048;

/// A ring buffer of lines. Each line has a position, from which a reader can continue.
#[derive(Default)]
pub struct EventLog {
    ring: VecDeque<String>,
    /// The position of the next line.
    next: u64,
}

impl EventLog {
    /// Adds a line with its time and its update batch.
    pub fn add(&mut self, now: Duration, batch: u64, text: &str) {
        if self.ring.len() == MAX_LINES {
            self.ring.pop_front();
        }
        // The runtime API shows the number of the batch as `wave`.
        self.ring.push_back(format!("{:.3} wave {batch}: {text}\n", now.as_secs_f64()));
        self.next += 1;
    }

    /// Returns the lines from a position on, without those that were dropped, and advances the position to the end.
    pub fn since(&self, position: &mut u64) -> String {
        let first = self.next - self.ring.len() as u64;
        let skip = position.saturating_sub(first) as usize;
        *position = self.next;
        self.ring.iter().skip(skip).map(String::as_str).collect()
    }
}
