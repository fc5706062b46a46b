//! The rules on the update channel: the number of unanswered commands and the rate of messages are limited.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lockcroft_testbed::{TrafficEvent, TrafficRecord};

use crate::check_result::CheckResult;
use crate::rules::limits::Limits;

/// Measures the number of commands that are sent and not answered yet, at all proxies together.
pub fn check_queued_commands(records: &[TrafficRecord], limits: &Limits) -> CheckResult {
    let mut result = CheckResult::new("short queue", "lines waiting", limits.max_queued_entries);
    let mut queued: BTreeMap<&str, usize> = BTreeMap::new();
    for record in records {
        match &record.event {
            TrafficEvent::UpdateReceived { proxy, commands } => {
                *queued.entry(proxy).or_default() += commands;
                let total = queued.values().sum::<usize>() as f64;
                result.observe(total, || format!("at {:.1} s", record.at.as_secs_f64()));
            }
            TrafficEvent::UpdateAnswered { proxy, commands } => {
                let unanswered = queued.entry(proxy).or_default();
                *unanswered = unanswered.saturating_sub(commands.len());
            }
            // Commands in flight when a stream closes get no answer.
            TrafficEvent::ControlStream { proxy, .. } => {
                queued.remove(proxy.as_str());
            }
            _ => {}
        }
    }
    result
}

/// Measures the number of messages to one proxy within the window.
pub fn check_message_rate(records: &[TrafficRecord], limits: &Limits) -> CheckResult {
    let mut result = CheckResult::new("few messages", "messages in the span", limits.max_messages);
    let mut received: BTreeMap<&str, VecDeque<Duration>> = BTreeMap::new();
    for record in records {
        let TrafficEvent::UpdateReceived { proxy, .. } = &record.event else { continue };
        let messages = received.entry(proxy).or_default();
        messages.push_back(record.at);
        while messages.front().is_some_and(|first| *first + limits.message_window < record.at) {
            messages.pop_front();
        }
        result.observe(messages.len() as f64, || format!("{proxy} at {:.1} s", record.at.as_secs_f64()));
    }
    result
}
