//! Messages of proxies and collectors: one JSON object on a line becomes a typed message. This is the only place with
//! the names of their fields. Errors differ by what they cost: after a line that can't be read nothing on the
//! connection can be trusted, while a field that can't be used costs that one message.

use std::time::Duration;

use lockcroft::{ClassId, EndpointId, ProxyId, Settings, ZoneId};
use lockcroft_host::{NameIndex, UnknownName};
use serde_json::Value;
use thiserror::Error;

use crate::endpoint_list::EndpointList;

/// The most bytes of a message.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The most bytes of a first message: an attachment is short, and strangers send without end.
pub const MAX_FIRST_MESSAGE_BYTES: usize = 1 << 14;
/// Counts, rates and milliseconds above this can't be true of one report.
const MAX_REPORTED: f64 = 1e7;
/// The most time of an attempt where no class states a client timeout.
const DEFAULT_MAX_ATTEMPT_LATENCY: Duration = Duration::from_secs(600);

/// What proxies and collectors say.
#[derive(Clone, Debug, PartialEq)]
pub enum InboundMessage {
    /// Asks whether the controller is alive.
    Heartbeat,
    /// A collector attaches; it reports for the proxies of this zone.
    CollectorAttach { zone: ZoneId },
    /// A proxy attaches.
    ProxyAttach(ProxyAttach),
    /// What the proxies of a zone met at an endpoint.
    AttemptReport(AttemptReport),
    /// How many requests came to a proxy.
    RequestReport(RequestReport),
    /// A proxy has applied everything up to this nonce.
    Acknowledgement { proxy: ProxyId, nonce: u64 },
}

/// The first message on a proxy's stream.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyAttach {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    /// A rough figure of its requests per second.
    pub request_rate: f64,
    /// It holds no table that any controller assigned.
    pub without_table: bool,
}

/// The attempts at one endpoint over the interval of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    pub endpoint: EndpointId,
    pub attempts: u32,
    pub failed: u32,
    /// The mean of the attempts that did not fail; zero where all failed.
    pub mean_latency: Duration,
}

/// The requests of one class that came to one proxy over the interval of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestReport {
    pub proxy: ProxyId,
    pub class: ClassId,
    pub requests: u32,
}

/// Why a line is no message that can be used.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The line is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The line is a JSON value, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing, or its value can't be used.
    #[error("{field}: {found}; allowed: {allowed}")]
    InvalidField { field: &'static str, found: Value, allowed: String },
    /// Discovery never listed this endpoint.
    #[error("endpoint: {0:?} was never listed")]
    UnknownEndpoint(String),
    /// The settings state no such zone or class.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// Messages of this kind are not for a controller.
    #[error("t: {0:?} is nothing that a pilot is told")]
    UnknownKind(String),
}

impl MessageError {
    /// Whether nothing that follows on the connection can be trusted.
    pub fn is_unreadable(&self) -> bool {
        matches!(self, MessageError::Json(_) | MessageError::NotAnObject)
    }
}

/// What a message is checked against.
pub struct MessageContext<'a> {
    pub names: &'a NameIndex,
    pub endpoints: &'a EndpointList,
    pub limits: &'a ReportLimits,
}

/// Limits beyond which a reported figure can't be true.
pub struct ReportLimits {
    /// Proxies are numbered from 0 to below this.
    pub proxies: usize,
    /// No attempt lasts longer than the longest client timeout, with a margin for noise.
    pub max_attempt_latency: Duration,
}

impl ReportLimits {
    /// Limits that follow from the settings.
    pub fn new(settings: &Settings) -> Self {
        let longest_timeout = settings.classes.iter().filter_map(|class| class.client_timeout).max();
        let max_attempt_latency = longest_timeout.map_or(DEFAULT_MAX_ATTEMPT_LATENCY, |timeout| timeout * 2);
        let proxies = settings.fleet.proxies.map_or(usize::MAX, |proxies| proxies as usize);
        ReportLimits { proxies, max_attempt_latency }
    }
}

/// Reads a line, without its end.
///
/// # Errors
/// The line is no message, or a field of it can't be used.
pub fn parse_message(line: &[u8], context: &MessageContext) -> Result<InboundMessage, MessageError> {
    let value: Value = serde_json::from_slice(line)?;
    if !value.is_object() {
        return Err(MessageError::NotAnObject);
    }
    let fields = Fields { message: &value, context };
    match fields.text("t")? {
        "hb" => Ok(InboundMessage::Heartbeat),
        "telemetry" => Ok(InboundMessage::CollectorAttach { zone: fields.zone()? }),
        "attach" => fields.proxy_attach().map(InboundMessage::ProxyAttach),
        "done" => fields.acknowledgement(),
        "upstream_stats" => fields.attempt_report().map(InboundMessage::AttemptReport),
        "client_stats" => fields.request_report().map(InboundMessage::RequestReport),
        other => Err(MessageError::UnknownKind(other.into())),
    }
}

/// The fields of one message.
struct Fields<'a> {
    message: &'a Value,
    context: &'a MessageContext<'a>,
}

impl<'a> Fields<'a> {
    fn proxy_attach(&self) -> Result<ProxyAttach, MessageError> {
        let without_table = self.flag("cold")?;
        let request_rate = self.number("w", MAX_REPORTED)?;
        Ok(ProxyAttach { proxy: self.proxy()?, zone: self.zone()?, request_rate, without_table })
    }

    fn acknowledgement(&self) -> Result<InboundMessage, MessageError> {
        self.number("latency", MAX_REPORTED)?;
        let nonce = u64::from(self.count("nonce")?);
        Ok(InboundMessage::Acknowledgement { proxy: self.proxy()?, nonce })
    }

    fn attempt_report(&self) -> Result<AttemptReport, MessageError> {
        let name = self.text("endpoint")?;
        let endpoint = self.context.endpoints.find(name);
        let endpoint = endpoint.ok_or_else(|| MessageError::UnknownEndpoint(name.into()))?;
        self.zone()?;
        self.check_interval()?;
        let attempts = self.count("total")?;
        let failed = self.count("errors")?;
        self.check_failed(failed, attempts)?;
        if !matches!(self.message["metrics"], Value::Null | Value::Object(_)) {
            return Err(self.invalid("metrics", "an object"));
        }
        let mean_latency = self.mean_latency(failed == attempts)?;
        Ok(AttemptReport { endpoint, attempts, failed, mean_latency })
    }

    fn request_report(&self) -> Result<RequestReport, MessageError> {
        let requests = self.count("total")?;
        let failed = self.count("errors")?;
        self.check_interval()?;
        let class = self.context.names.class(self.text("route")?)?;
        self.check_failed(failed, requests)?;
        Ok(RequestReport { proxy: self.proxy()?, class, requests })
    }

    /// The mean time of the attempts that did not fail. Where all failed, the field may be null.
    fn mean_latency(&self, all_failed: bool) -> Result<Duration, MessageError> {
        if all_failed && self.message["rtt"].is_null() {
            return Ok(Duration::ZERO);
        }
        let max_millis = self.context.limits.max_attempt_latency.as_secs_f64() * 1e3;
        let millis = self.number("rtt", max_millis)?;
        Ok(Duration::from_secs_f64(millis / 1e3))
    }

    fn check_failed(&self, failed: u32, total: u32) -> Result<(), MessageError> {
        if failed > total { Err(self.invalid("errors", "at most total")) } else { Ok(()) }
    }

    fn check_interval(&self) -> Result<(), MessageError> {
        let interval = self.number("interval", MAX_REPORTED)?;
        if interval > 0.0 { Ok(()) } else { Err(self.invalid("interval", "more than 0")) }
    }

    fn proxy(&self) -> Result<ProxyId, MessageError> {
        let proxy = self.count("node")? as ProxyId;
        let proxies = self.context.limits.proxies;
        if proxy < proxies { Ok(proxy) } else { Err(self.invalid("node", format!("below {proxies}"))) }
    }

    fn zone(&self) -> Result<ZoneId, MessageError> {
        Ok(self.context.names.zone(self.text("locality")?)?)
    }

    fn text(&self, field: &'static str) -> Result<&'a str, MessageError> {
        self.message[field].as_str().ok_or_else(|| self.invalid(field, "a text"))
    }

    fn flag(&self, field: &'static str) -> Result<bool, MessageError> {
        self.message[field].as_bool().ok_or_else(|| self.invalid(field, "true or false"))
    }

    fn number(&self, field: &'static str, max: f64) -> Result<f64, MessageError> {
        let number = self.message[field].as_f64().filter(|number| (0.0..=max).contains(number));
        number.ok_or_else(|| self.invalid(field, format!("a number from 0 to {max}")))
    }

    fn count(&self, field: &'static str) -> Result<u32, MessageError> {
        let count = self.number(field, MAX_REPORTED)?;
        if count.fract() == 0.0 { Ok(count as u32) } else { Err(self.invalid(field, "a whole number")) }
    }

    fn invalid(&self, field: &'static str, allowed: impl Into<String>) -> MessageError {
        MessageError::InvalidField { field, found: self.message[field].clone(), allowed: allowed.into() }
    }
}
