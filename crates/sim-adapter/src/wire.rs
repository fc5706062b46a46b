//! All names of the simulator's wire: which word of it stands for which event, status or outcome, and how an action is
//! written.

use std::fmt::{Arguments, Write as _};
use std::time::Duration;

use lockcroft::{Action, ClassId, EndpointStatus, HealthCheckOutcome};
use lockcroft_host::NameInterner;

use crate::error::FieldError;

/// The first line of a batch.
pub const CLOCK: &str = "CLOCK";
/// The last line of a batch.
pub const END_OF_BATCH: &str = "EOF_BATCH";
/// One entry of an endpoint list.
pub const LIST_ENTRY: &str = "ITEM";
/// The last line of a reply.
pub const END_OF_REPLY: &str = "YIELD";
/// A message for people on call.
const EVENT: &str = "NOTE_DOWN";
/// The instance has failed.
const FATAL: &str = "FATAL";

/// The kinds of events.
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
    /// The kind of the event with this tag.
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

/// Whether a list of this form is the whole list; else it has changes.
pub fn is_complete_list(form: &str) -> Result<bool, FieldError> {
    match form {
        "snapshot" | "disk" => Ok(true),
        "diff" | "error" => Ok(false),
        other => Err(FieldError::UnknownWord { field: "form", found: other.into() }),
    }
}

/// The status of an entry of the list.
pub fn endpoint_status(state: &str) -> Result<EndpointStatus, FieldError> {
    match state {
        "U" => Ok(EndpointStatus::Ready),
        "L" => Ok(EndpointStatus::Draining),
        "D" => Ok(EndpointStatus::Removed),
        other => Err(FieldError::UnknownWord { field: "state", found: other.into() }),
    }
}

/// The outcome of a health check, with the load that the endpoint reported.
pub fn health_check_outcome(verdict: &str, load: Option<f64>) -> Result<HealthCheckOutcome, FieldError> {
    match verdict {
        "done" => Ok(HealthCheckOutcome::Passed(load)),
        "err" | "etimedout" => Ok(HealthCheckOutcome::Failed),
        "econnrefused" | "econnreset" => Ok(HealthCheckOutcome::Refused),
        "busy" | "ecanceled" | "skipped" => Ok(HealthCheckOutcome::Rejected),
        other => Err(FieldError::UnknownWord { field: "verdict", found: other.into() }),
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
            let bits = classes.iter().fold(0, |bits, class| bits | class_bit(*class));
            write_line(reply, format_args!("HAND_TABLE {instance} {proxy} {table} {bits}"));
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
            write_line(reply, format_args!("{EVENT} {instance} {} {text}", name(*endpoint)));
        }
        Action::RaiseEvent { endpoint: None, text } => write_event(reply, instance, text),
    }
}

/// Writes a message for people on call.
pub fn write_event(reply: &mut String, instance: u32, text: &str) {
    write_line(reply, format_args!("{EVENT} {instance} {text}"));
}

/// Says that an instance has failed.
pub fn write_failure(reply: &mut String, instance: u32, text: &str) {
    write_line(reply, format_args!("{FATAL} {instance} {text}"));
}

/// Sets a timer of an instance. The tag that comes back with it is not used.
pub fn write_timer(reply: &mut String, instance: u32, delay: Duration) {
    write_line(reply, format_args!("SLEEP {instance} {} 0", delay.as_micros()));
}

/// Ends a reply.
pub fn write_end_of_reply(reply: &mut String) {
    write_line(reply, format_args!("{END_OF_REPLY}"));
}

/// Sets of classes are bits on the wire.
fn class_bit(class: ClassId) -> u64 {
    1 << class
}

fn write_line(reply: &mut String, line: Arguments) {
    // Writing to a String cannot fail.
    let _ = writeln!(reply, "{line}");
}
