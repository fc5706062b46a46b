//! The last notes and decisions, for those who ask.

use std::collections::VecDeque;
use std::time::Duration;

/// So many are kept.
const MOST: usize = 2048;

/// A ring of lines; each has a mark, so that a reader can go on where it stopped.
#[derive(Default)]
pub struct EventLog {
    ring: VecDeque<String>,
    /// The mark of the line that comes next.
    next: u64,
}

impl EventLog {
    /// Adds a line that was caused by the inputs of this wave.
    pub fn add(&mut self, now: Duration, wave: u64, text: &str) {
        if self.ring.len() == MOST {
            self.ring.pop_front();
        }
        self.ring.push_back(format!("{:.3} wave {wave}: {text}\n", now.as_secs_f64()));
        self.next += 1;
    }

    /// The lines from a mark on, as far as they are kept; the mark moves behind them.
    pub fn since(&self, mark: &mut u64) -> String {
        let first = self.next - self.ring.len() as u64;
        let skip = mark.saturating_sub(first) as usize;
        *mark = self.next;
        self.ring.iter().skip(skip).map(String::as_str).collect()
    }

    pub fn mark(&self) -> u64 {
        self.next
    }
}
