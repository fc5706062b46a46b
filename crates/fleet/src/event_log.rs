//! The last events and actions, for `show events`.

use std::collections::VecDeque;
use std::time::Duration;

/// Older lines are dropped.
const MAX_LINES: usize = 2048;

/// A ring of lines. Each line has a position, so that a reader can go on where it stopped.
#[derive(Default)]
pub struct EventLog {
    ring: VecDeque<String>,
    /// The position of the line that comes next.
    next: u64,
}

impl EventLog {
    /// Adds a line that was caused by the inputs of this update batch.
    pub fn add(&mut self, now: Duration, batch: u64, text: &str) {
        if self.ring.len() == MAX_LINES {
            self.ring.pop_front();
        }
        // The runtime API shows the number of the batch as `wave`.
        self.ring.push_back(format!("{:.3} wave {batch}: {text}\n", now.as_secs_f64()));
        self.next += 1;
    }

    /// The lines from a position on, as far as they are still there; the position moves behind them.
    pub fn since(&self, position: &mut u64) -> String {
        let first = self.next - self.ring.len() as u64;
        let skip = position.saturating_sub(first) as usize;
        *position = self.next;
        self.ring.iter().skip(skip).map(String::as_str).collect()
    }
}
