//! The platform's messages: one JSON object on a line. What is wrong with a line is told apart: what can't be
//! read ends a connection, a spoilt field costs that one message.

use std::time::Duration;

use lockcroft::{ClassId, EndpointId, ProxyId, Settings, ZoneId};
use lockcroft_host::NameIndex;
use serde::Serialize;
use serde_json::Value;

use crate::roster::Roster;

/// The most bytes of a message.
pub const LINE_MOST: usize = 1 << 20;
/// The most bytes of a first message: a joining is short, and strangers send without end.
pub const FIRST_MOST: usize = 1 << 14;

#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks for a sign of life.
    Alive,
    /// A collector speaks, for the proxies of this zone.
    Collects {
        zone: ZoneId,
    },
    Joins {
        proxy: ProxyId,
        zone: ZoneId,
        rate: f64,
        fresh: bool,
    },
    /// What proxies met at a server.
    Met {
        server: EndpointId,
        tries: u32,
        failed: u32,
        took: Duration,
    },
    /// What came to a proxy.
    Came {
        proxy: ProxyId,
        class: ClassId,
        visits: u32,
    },
    /// It has applied all up to the mark of this number.
    Applied {
        proxy: ProxyId,
        mark: u64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Not a message at all: nothing after it can be trusted.
    Unreadable(String),
    /// A message with a field that can't be; those around it are good.
    Spoilt(String),
}

/// What a message may name.
pub struct MessageContext<'a> {
    pub places: &'a NameIndex,
    pub roster: &'a Roster,
    pub bounds: &'a Bounds,
}

/// How far figures may go before they can't be true.
pub struct Bounds {
    pub proxies: usize,
    /// No try lasts longer than the longest patience, noise included.
    pub try_most: Duration,
}

impl Bounds {
    pub fn new(settings: &Settings) -> Self {
        let longest = settings.classes.iter().filter_map(|class| class.client_timeout).max();
        let try_most = longest.map_or(Duration::from_secs(600), |patience| patience * 2);
        let proxies = settings.fleet.proxies.map_or(usize::MAX, |proxies| proxies as usize);
        Bounds { proxies, try_most }
    }
}

/// Marks are numbered from 0 up to below this, and round again.
pub const MARKS: u64 = 1 << 16;
/// More tries than this, or a span of more milliseconds, can't be true of one report.
const COUNT_MOST: f64 = 1e7;

struct Fields<'a>(&'a Value);

impl<'a> Fields<'a> {
    fn spoilt(&self, name: &str, allowed: &str) -> Fault {
        Fault::Spoilt(format!("{name}: {}; allowed: {allowed}", self.0[name]))
    }

    fn word(&self, name: &str) -> Result<&'a str, Fault> {
        self.0[name].as_str().ok_or_else(|| self.spoilt(name, "a text"))
    }

    fn number(&self, name: &str, most: f64) -> Result<f64, Fault> {
        let number = self.0[name].as_f64().filter(|number| (0.0..=most).contains(number));
        number.ok_or_else(|| self.spoilt(name, &format!("a number from 0 to {most}")))
    }

    fn count(&self, name: &str) -> Result<u32, Fault> {
        let count = self.number(name, COUNT_MOST)?;
        if count.fract() == 0.0 { Ok(count as u32) } else { Err(self.spoilt(name, "a whole number")) }
    }

    fn proxy(&self, known: &MessageContext) -> Result<ProxyId, Fault> {
        let proxy = self.count("node")? as ProxyId;
        let most = known.bounds.proxies;
        if proxy < most { Ok(proxy) } else { Err(self.spoilt("node", &format!("below {most}"))) }
    }

    fn zone(&self, known: &MessageContext) -> Result<ZoneId, Fault> {
        known.places.zone(self.word("locality")?).map_err(Fault::Spoilt)
    }
}

/// # Errors
/// The line is no message, or one with a spoilt field.
pub fn read(line: &[u8], known: &MessageContext) -> Result<Message, Fault> {
    let value: Value = serde_json::from_slice(line).map_err(|e| Fault::Unreadable(e.to_string()))?;
    if !value.is_object() {
        return Err(Fault::Unreadable("not an object".into()));
    }
    let fields = Fields(&value);
    match fields.word("t")? {
        "hb" => Ok(Message::Alive),
        "telemetry" => Ok(Message::Collects { zone: fields.zone(known)? }),
        "attach" => {
            let fresh = value["cold"].as_bool().ok_or_else(|| fields.spoilt("cold", "true or false"))?;
            let rate = fields.number("w", COUNT_MOST)?;
            Ok(Message::Joins { proxy: fields.proxy(known)?, zone: fields.zone(known)?, rate, fresh })
        }
        "done" => {
            fields.number("latency", COUNT_MOST)?;
            let mark = u64::from(fields.count("nonce")?);
            Ok(Message::Applied { proxy: fields.proxy(known)?, mark })
        }
        "upstream_stats" => met(&fields, known),
        "client_stats" => {
            let (visits, failed) = (fields.count("total")?, fields.count("errors")?);
            span(&fields)?;
            let class = known.places.class(fields.word("route")?).map_err(Fault::Spoilt)?;
            if failed > visits {
                return Err(fields.spoilt("errors", "at most total"));
            }
            Ok(Message::Came { proxy: fields.proxy(known)?, class, visits })
        }
        other => Err(Fault::Spoilt(format!("t: {other:?} is nothing that a pilot is told"))),
    }
}

fn met(fields: &Fields, known: &MessageContext) -> Result<Message, Fault> {
    let name = fields.word("endpoint")?;
    let server = known.roster.find(name);
    let server = server.ok_or_else(|| Fault::Spoilt(format!("endpoint: {name:?} was never listed")))?;
    fields.zone(known)?;
    span(fields)?;
    let (tries, failed) = (fields.count("total")?, fields.count("errors")?);
    if failed > tries {
        return Err(fields.spoilt("errors", "at most total"));
    }
    if !matches!(fields.0["metrics"], Value::Null | Value::Object(_)) {
        return Err(fields.spoilt("metrics", "an object"));
    }
    let most = known.bounds.try_most.as_secs_f64() * 1e3;
    // Where none was answered there is no mean time.
    let took = if failed == tries && fields.0["rtt"].is_null() { 0.0 } else { fields.number("rtt", most)? };
    Ok(Message::Met { server, tries, failed, took: Duration::from_secs_f64(took / 1e3) })
}

fn span(fields: &Fields) -> Result<(), Fault> {
    if fields.number("interval", COUNT_MOST)? > 0.0 {
        Ok(())
    } else {
        Err(fields.spoilt("interval", "more than 0"))
    }
}

/// Names of the share of cores in use: as the settings list it, and as the protocol's page has it.
const LOADS: [&str; 2] = ["busy", "util"];

/// The share of its cores in use out of a load report, where it has one that can be true.
pub fn load(report: &str) -> Option<f64> {
    let mut pairs = report.split(',').filter_map(|pair| pair.trim().split_once('='));
    let (_, busy) = pairs.find(|(name, _)| LOADS.contains(name))?;
    busy.trim().parse().ok().filter(|load: &f64| load.is_finite() && *load >= 0.0)
}

pub const ALIVE: &str = "{\"t\":\"hb_ok\"}\n";

pub fn reject(why: &str) -> String {
    line(&serde_json::json!({"t": "reject", "reason": why}))
}

/// One part of a message to a proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Part<'a> {
    pub t: Assign,
    /// The classes meant; none: all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub routes: Option<Vec<&'a str>>,
    #[serde(skip_serializing_if = "is_false")]
    pub full: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub endpoints: Vec<(&'a str, f64)>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admit: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub policy: Option<u8>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub eject: Vec<&'a str>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub restore: Vec<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub nonce_out: Option<u64>,
    #[serde(skip_serializing_if = "is_false")]
    pub continued: bool,
}

impl Part<'_> {
    /// What counts as a line in it, where so many classes are meant if none is named.
    pub fn lines(&self, classes: usize) -> usize {
        let named = self.endpoints.len() + self.eject.len() + self.restore.len();
        let meant = self.routes.as_ref().map_or(classes, Vec::len);
        let levels = if self.admit.is_some() { meant } else { 0 };
        named + levels + usize::from(self.full) + usize::from(self.nonce_out.is_some())
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Assign {
    #[default]
    Assign,
}

fn is_false(flag: &bool) -> bool {
    !*flag
}

/// Bytes of the endpoints in one part, at most: a line holds [`LINE_MOST`], with all else in it.
const PART_MOST: usize = LINE_MOST / 2;
/// Bytes that an endpoint takes beside its name.
const BESIDE: usize = 32;

/// A part whose endpoints are too many for a line goes as several.
fn pieces(mut part: Part) -> Vec<Part> {
    let (mut pieces, mut bytes) = (vec![Vec::new()], 0);
    for endpoint in std::mem::take(&mut part.endpoints) {
        let more = endpoint.0.len() + BESIDE;
        if bytes + more > PART_MOST {
            pieces.push(Vec::new());
            bytes = 0;
        }
        bytes += more;
        pieces.last_mut().into_iter().for_each(|piece| piece.push(endpoint));
    }
    let (routes, mark) = (part.routes.clone(), part.nonce_out.take());
    let mut first = Some(part);
    let piece = |endpoints| Part {
        endpoints,
        ..first.take().unwrap_or(Part { routes: routes.clone(), ..Part::default() })
    };
    let mut pieces: Vec<Part> = pieces.into_iter().map(piece).collect();
    // The mark stands behind all of it.
    pieces.last_mut().into_iter().for_each(|last| last.nonce_out = mark);
    pieces
}

/// The parts of one message, as they go on a stream.
pub fn message(parts: Vec<Part>) -> String {
    let mut parts: Vec<Part> = parts.into_iter().flat_map(pieces).collect();
    let last = parts.len().saturating_sub(1);
    parts[..last].iter_mut().for_each(|part| part.continued = true);
    parts.iter().map(line).collect()
}

fn line(value: &impl Serialize) -> String {
    // Texts, numbers and lists of them always have a form in JSON.
    serde_json::to_string(value).unwrap_or_default() + "\n"
}
