//! Parses messages from proxies and collectors: lines with one JSON object each. The field names of these messages
//! appear only in this module. A line that is not a JSON object makes the rest of the connection untrustworthy, while
//! an invalid field invalidates only its message.

use std::time::Duration;

use lockcroft::{ClassId, EndpointId, ProxyId, Settings, ZoneId};
use lockcroft_host::{NameIndex, UnknownName};
use thiserror::Error;

use crate::endpoint_list::EndpointList;
use crate::message_fields::{MessageFields, abbreviated};

/// The maximum length of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The maximum length of a message on an unattached connection in bytes. Attach messages are short, and an unidentified
/// client may send any amount of data.
pub const MAX_FIRST_MESSAGE_BYTES: usize = 1 << 14;
/// The maximum of a count, a rate or a time in milliseconds in a message; higher values can't be correct.
const MAX_REPORTED_NUMBER: f64 = 1e7;
/// The maximum latency of an attempt if no class has a client timeout.
const DEFAULT_MAX_ATTEMPT_LATENCY: Duration = Duration::from_secs(600);

/// A message from a proxy or a collector.
#[derive(Clone, Debug, PartialEq)]
pub enum InboundMessage {
    /// A check that the controller is alive, which gets a reply on any connection.
    Heartbeat,
    /// A collector that reports for the proxies of this zone attaches.
    CollectorAttach { zone: ZoneId },
    /// A proxy attaches.
    ProxyAttach(ProxyAttach),
    /// The results of attempts of a zone's proxies at an endpoint.
    AttemptReport(AttemptReport),
    /// The number of requests that a proxy received.
    RequestReport(RequestReport),
    /// A proxy has applied all messages up to this nonce.
    Acknowledgement { proxy: ProxyId, nonce: u64 },
}

/// The first message on a proxy's stream.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyAttach {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    /// The proxy's estimate of its requests per second.
    pub request_rate: f64,
    /// True if the proxy has no table from any controller.
    pub without_table: bool,
}

/// The attempts at an endpoint in the interval of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    pub endpoint: EndpointId,
    pub attempts: u32,
    pub failed: u32,
    /// The mean latency of successful attempts; it may be zero if all failed.
    pub mean_latency: Duration,
}

/// The requests of a class that a proxy received in the interval of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestReport {
    pub proxy: ProxyId,
    pub class: ClassId,
    pub requests: u32,
}

/// An error of parsing a message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The line is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The line is valid JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing, or its value is not allowed.
    #[error("{field}: {found}; allowed: {allowed}")]
    InvalidField { field: &'static str, found: String, allowed: String },
    /// Discovery has never listed this endpoint.
    #[error("endpoint: {0:?} was never listed")]
    UnknownEndpoint(String),
    /// The settings define no such zone or class.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The controller does not accept messages of this kind.
    #[error("t: {0:?} is nothing that a pilot is told")]
    UnknownKind(String),
}

impl MessageError {
    /// Returns true if the following lines of the connection can't be trusted.
    pub fn is_unreadable(&self) -> bool {
        matches!(self, MessageError::Json(_) | MessageError::NotAnObject)
    }
}

/// The state that messages are validated against.
pub struct MessageContext<'a> {
    pub names: &'a NameIndex,
    pub endpoints: &'a EndpointList,
    pub limits: &'a ReportLimits,
}

/// Limits beyond which reported values can't be correct.
pub struct ReportLimits {
    /// The number of proxies; their ids are below it.
    pub proxies: usize,
    /// The maximum latency of an attempt: twice the longest client timeout, which leaves a margin for noise.
    pub max_attempt_latency: Duration,
}

impl ReportLimits {
    /// Derives the limits from the settings.
    pub fn new(settings: &Settings) -> Self {
        let longest_timeout = settings.classes.iter().filter_map(|class| class.client_timeout).max();
        let max_attempt_latency = longest_timeout.map_or(DEFAULT_MAX_ATTEMPT_LATENCY, |timeout| timeout * 2);
        let proxies = settings.fleet.proxies.map_or(usize::MAX, |proxies| proxies as usize);
        ReportLimits { proxies, max_attempt_latency }
    }
}

/// Parses a line, given without its terminator.
///
/// # Errors
/// Returns an error if the line is not a message, or if one of its fields is missing or invalid.
pub fn parse_message(line: &[u8], context: &MessageContext) -> Result<InboundMessage, MessageError> {
    let message = serde_json::from_slice(line);
    let message = message.map_err(|error: serde_json::Error| match error.is_data() {
        true => MessageError::NotAnObject,
        false => MessageError::Json(error),
    })?;
    let fields = Fields { message, context };
    match fields.string("t")?.as_str() {
        "hb" => Ok(InboundMessage::Heartbeat),
        "telemetry" => Ok(InboundMessage::CollectorAttach { zone: fields.zone()? }),
        "attach" => fields.proxy_attach().map(InboundMessage::ProxyAttach),
        "done" => fields.acknowledgement(),
        "upstream_stats" => fields.attempt_report().map(InboundMessage::AttemptReport),
        "client_stats" => fields.request_report().map(InboundMessage::RequestReport),
        other => Err(MessageError::UnknownKind(abbreviated(other))),
    }
}

/// The fields of one message.
struct Fields<'a> {
    message: MessageFields<'a>,
    context: &'a MessageContext<'a>,
}

impl Fields<'_> {
    fn proxy_attach(&self) -> Result<ProxyAttach, MessageError> {
        let without_table = self.flag("cold")?;
        let request_rate = self.number("w", MAX_REPORTED_NUMBER)?;
        Ok(ProxyAttach { proxy: self.proxy()?, zone: self.zone()?, request_rate, without_table })
    }

    fn acknowledgement(&self) -> Result<InboundMessage, MessageError> {
        self.number("latency", MAX_REPORTED_NUMBER)?;
        let nonce = u64::from(self.count("nonce")?);
        Ok(InboundMessage::Acknowledgement { proxy: self.proxy()?, nonce })
    }

    fn attempt_report(&self) -> Result<AttemptReport, MessageError> {
        let name = self.string("endpoint")?;
        let endpoint = self.context.endpoints.find(&name);
        let endpoint = endpoint.ok_or_else(|| MessageError::UnknownEndpoint(abbreviated(&name)))?;
        self.zone()?;
        self.check_interval()?;
        let attempts = self.count("total")?;
        let failed = self.count("errors")?;
        self.check_failed_count(failed, attempts)?;
        if !self.message.is_null("metrics") && !self.message.is_object("metrics") {
            return Err(self.invalid("metrics", "an object"));
        }
        let mean_latency = self.mean_latency(failed == attempts)?;
        Ok(AttemptReport { endpoint, attempts, failed, mean_latency })
    }

    fn request_report(&self) -> Result<RequestReport, MessageError> {
        let requests = self.count("total")?;
        let failed = self.count("errors")?;
        self.check_interval()?;
        let class = self.context.names.class(&self.string("route")?)?;
        self.check_failed_count(failed, requests)?;
        Ok(RequestReport { proxy: self.proxy()?, class, requests })
    }

    /// Returns the mean latency of successful attempts. If all failed, the field may be null.
    fn mean_latency(&self, all_failed: bool) -> Result<Duration, MessageError> {
        if all_failed && self.message.is_null("rtt") {
            return Ok(Duration::ZERO);
        }
        let max_millis = self.context.limits.max_attempt_latency.as_secs_f64() * 1e3;
        let millis = self.number("rtt", max_millis)?;
        Ok(Duration::from_secs_f64(millis / 1e3))
    }

    fn check_failed_count(&self, failed: u32, total: u32) -> Result<(), MessageError> {
        if failed > total { Err(self.invalid("errors", "at most total")) } else { Ok(()) }
    }

    fn check_interval(&self) -> Result<(), MessageError> {
        let interval = self.number("interval", MAX_REPORTED_NUMBER)?;
        if interval > 0.0 { Ok(()) } else { Err(self.invalid("interval", "more than 0")) }
    }

    fn proxy(&self) -> Result<ProxyId, MessageError> {
        let proxy = self.count("node")? as ProxyId;
        let proxies = self.context.limits.proxies;
        if proxy < proxies { Ok(proxy) } else { Err(self.invalid("node", format!("below {proxies}"))) }
    }

    fn zone(&self) -> Result<ZoneId, MessageError> {
        Ok(self.context.names.zone(&self.string("locality")?)?)
    }

    fn string(&self, field: &'static str) -> Result<String, MessageError> {
        self.message.get(field).ok_or_else(|| self.invalid(field, "a text"))
    }

    fn flag(&self, field: &'static str) -> Result<bool, MessageError> {
        self.message.get(field).ok_or_else(|| self.invalid(field, "true or false"))
    }

    fn number(&self, field: &'static str, max: f64) -> Result<f64, MessageError> {
        let number = self.message.get(field).filter(|number| (0.0..=max).contains(number));
        number.ok_or_else(|| self.invalid(field, format!("a number from 0 to {max}")))
    }

    fn count(&self, field: &'static str) -> Result<u32, MessageError> {
        let count = self.number(field, MAX_REPORTED_NUMBER)?;
        if count.fract() == 0.0 { Ok(count as u32) } else { Err(self.invalid(field, "a whole number")) }
    }

    fn invalid(&self, field: &'static str, allowed: impl Into<String>) -> MessageError {
        MessageError::InvalidField { field, found: self.message.shown(field), allowed: allowed.into() }
    }
}
