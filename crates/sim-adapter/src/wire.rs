//! Names of the simulator's protocol: maps its words to events, statuses and outcomes, and writes actions.

use std::fmt::{Arguments, Write as _};
use std::time::Duration;

use lockcroft::{Action, ClassId, EndpointStatus, HealthCheckOutcome};
use lockcroft_host::NameInterner;

use crate::error::FieldError;

/// The tag of the first line of a batch.
pub const CLOCK: &str = "CLOCK";
/// The tag of the last line of a batch.
pub const END_OF_BATCH: &str = "EOF_BATCH";
/// The tag of an entry of an endpoint list.
pub const LIST_ENTRY: &str = "ITEM";
/// The tag of the last line of a reply.
pub const END_OF_REPLY: &str = "YIELD";
/// The tag of an event for operators.
const OPERATOR_EVENT: &str = "NOTE_DOWN";
/// The tag of the message that an instance has failed.
const FATAL: &str = "FATAL";

/// The kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    Started,
    Killed,
    EndpointList,
    AttemptReport,
    RequestReport,
    HealthCheckResult,
    ProxyAttached,
    ProxyDetached,
    TimerDue,
    Acknowledgement,
    PeerMessage,
    KeyRangeAssigned,
    KeyRangeEntry,
    KeyRangeReport,
}

impl EventKind {
    /// Returns the kind of the event with this tag; `None` if the tag is unknown.
    pub fn from_tag(tag: &str) -> Option<Self> {
        Some(match tag {
            "BORN" => EventKind::Started,
            "KILLED" => EventKind::Killed,
            "REGISTRY" => EventKind::EndpointList,
            "ROUNDUP" => EventKind::AttemptReport,
            "PROXY_STATS" => EventKind::RequestReport,
            "HEALTH_RESULT" => EventKind::HealthCheckResult,
            "ENROLLED" => EventKind::ProxyAttached,
            "DETACHED" => EventKind::ProxyDetached,
            "REMINDER" => EventKind::TimerDue,
            "RECEIPT" => EventKind::Acknowledgement,
            "PEER_DATA" => EventKind::PeerMessage,
            "HANDED" => EventKind::KeyRangeAssigned,
            "RECORDED" => EventKind::KeyRangeEntry,
            "WEIGHT_SEEN" => EventKind::KeyRangeReport,
            _ => return None,
        })
    }
}

/// Returns true if a list of this form has all endpoints, and false if it has only changed ones.
///
/// # Errors
/// Returns an error if the form is unknown.
pub fn is_complete_list(form: &str) -> Result<bool, FieldError> {
    match form {
        "snapshot" | "disk" => Ok(true),
        "diff" | "error" => Ok(false),
        other => Err(FieldError::UnknownValue { field: "form", found: other.into() }),
    }
}

/// Returns the status of an entry of an endpoint list.
///
/// # Errors
/// Returns an error if the state is unknown.
pub fn endpoint_status(state: &str) -> Result<EndpointStatus, FieldError> {
    match state {
        "U" => Ok(EndpointStatus::Ready),
        "L" => Ok(EndpointStatus::Draining),
        "D" => Ok(EndpointStatus::Removed),
        other => Err(FieldError::UnknownValue { field: "state", found: other.into() }),
    }
}

/// Returns the outcome of a health check, with the load that the endpoint reported if it passed.
///
/// # Errors
/// Returns an error if the verdict is unknown.
pub fn health_check_outcome(verdict: &str, load: Option<f64>) -> Result<HealthCheckOutcome, FieldError> {
    match verdict {
        "done" => Ok(HealthCheckOutcome::Passed(load)),
        "err" | "etimedout" => Ok(HealthCheckOutcome::Failed),
        "econnrefused" | "econnreset" => Ok(HealthCheckOutcome::Refused),
        "busy" | "ecanceled" | "skipped" => Ok(HealthCheckOutcome::Rejected),
        other => Err(FieldError::UnknownValue { field: "verdict", found: other.into() }),
    }
}

/// Writes an action of an instance.
pub fn write_action(reply: &mut String, instance: u32, action: &Action, endpoints: &NameInterner) {
    let name = |endpoint: usize| endpoints.name(endpoint);
    match action {
        Action::CheckHealth(endpoint) => {
            write_line(reply, format_args!("POLL {instance} {}", name(*endpoint)));
        }
        Action::SetWeight { table, endpoint, weight } => {
            write_line(reply, format_args!("SET_LINE {instance} {weight} {table} {}", name(*endpoint)));
        }
        Action::AssignTable { table, classes, proxy } => {
            let class_bits = classes.iter().fold(0, |bits, class| bits | class_bit(*class));
            write_line(reply, format_args!("HAND_TABLE {instance} {proxy} {table} {class_bits}"));
        }
        Action::Eject { endpoint } => {
            write_line(reply, format_args!("BENCH {instance} 1 {}", name(*endpoint)));
        }
        Action::Restore { endpoint } => {
            write_line(reply, format_args!("BENCH {instance} 0 {}", name(*endpoint)));
        }
        Action::SetAdmission { table, class, fraction, retry } => {
            let class = class_bit(*class);
            let retry = u8::from(*retry);
            write_line(reply, format_args!("GATE_CLASS {instance} {table} {class} {fraction} {retry}"));
        }
        Action::RaiseEvent { endpoint: Some(endpoint), text } => {
            write_line(reply, format_args!("{OPERATOR_EVENT} {instance} {} {text}", name(*endpoint)));
        }
        Action::RaiseEvent { endpoint: None, text } => write_event(reply, instance, text),
    }
}

/// Writes an event for operators that concerns no single endpoint.
pub fn write_event(reply: &mut String, instance: u32, text: &str) {
    write_line(reply, format_args!("{OPERATOR_EVENT} {instance} {text}"));
}

/// Writes the message that an instance has failed.
pub fn write_failure(reply: &mut String, instance: u32, text: &str) {
    write_line(reply, format_args!("{FATAL} {instance} {text}"));
}

/// Writes the command that sets a timer of an instance. The simulator returns the tag 0 when the timer expires; the tag
/// is not used.
pub fn write_timer(reply: &mut String, instance: u32, delay: Duration) {
    write_line(reply, format_args!("SLEEP {instance} {} 0", delay.as_micros()));
}

/// Writes the last line of a reply.
pub fn write_end_of_reply(reply: &mut String) {
    write_line(reply, format_args!("{END_OF_REPLY}"));
}

/// Returns the bit of a class in the protocol, where a set of classes is a sum of bits.
fn class_bit(class: ClassId) -> u64 {
    1 << class
}

fn write_line(reply: &mut String, line: Arguments) {
    // Writing to a String does not fail.
    let _ = writeln!(reply, "{line}");
}
