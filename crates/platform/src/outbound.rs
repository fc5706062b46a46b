//! Messages to proxies and collectors, as JSON objects on lines. This is the only place with the names of their fields.

use lockcroft_host::Admission;
use serde::{Serialize, Serializer};
use serde_json::json;

use crate::inbound::MAX_MESSAGE_BYTES;

/// Nonces are numbered from 0 to below this, and then from 0 again.
pub const NONCES: u64 = 1 << 16;
/// The answer to a heartbeat.
pub const HEARTBEAT_REPLY: &str = "{\"t\":\"hb_ok\"}\n";
/// The most bytes of entries in one part: a line holds [`MAX_MESSAGE_BYTES`], with all else in it.
const MAX_PART_BYTES: usize = MAX_MESSAGE_BYTES / 2;
/// The most bytes that an entry takes beside the endpoint's name.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Says why a connection is closed.
pub fn encode_reject(reason: &str) -> String {
    encode_line(&json!({"t": "reject", "reason": reason}))
}

/// One part of a message to a proxy: what changes for some of its classes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct UpdatePart<'a> {
    /// The kind of the message.
    #[serde(rename = "t")]
    pub kind: MessageKind,
    /// The classes whose table is meant; all of them if `None`.
    #[serde(rename = "routes", skip_serializing_if = "Option::is_none")]
    pub classes: Option<Vec<&'a str>>,
    /// The entries are the whole table, and admission starts anew.
    #[serde(rename = "full", skip_serializing_if = "is_false")]
    pub replaces_table: bool,
    /// Entries that change.
    #[serde(rename = "endpoints", skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<EntryChange<'a>>,
    /// What is admitted of the classes, if that changes.
    #[serde(flatten)]
    pub admission: Option<AdmissionChange>,
    /// Endpoints that the proxy is not to use.
    #[serde(rename = "eject", skip_serializing_if = "Vec::is_empty")]
    pub eject: Vec<&'a str>,
    /// Endpoints that the proxy may use again.
    #[serde(rename = "restore", skip_serializing_if = "Vec::is_empty")]
    pub restore: Vec<&'a str>,
    /// To be acknowledged once everything up to here is applied.
    #[serde(rename = "nonce_out", skip_serializing_if = "Option::is_none")]
    pub nonce: Option<u64>,
    /// A further part of the same message follows.
    #[serde(rename = "continued", skip_serializing_if = "is_false")]
    pub is_continued: bool,
}

/// The kind of a message; there is one kind to proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub enum MessageKind {
    #[default]
    #[serde(rename = "assign")]
    Assign,
}

/// The new weight of an endpoint; 0 removes its entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryChange<'a> {
    pub endpoint: &'a str,
    pub weight: f64,
}

impl Serialize for EntryChange<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.endpoint, self.weight).serialize(serializer)
    }
}

/// The new admission of the classes of a part.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct AdmissionChange {
    #[serde(rename = "admit")]
    fraction: f64,
    /// 1 for one retry after proof of non-execution, else 0.
    #[serde(rename = "policy")]
    retry_policy: u8,
}

impl From<Admission> for AdmissionChange {
    fn from(admission: Admission) -> Self {
        AdmissionChange { fraction: admission.fraction, retry_policy: u8::from(admission.retry) }
    }
}

impl<'a> UpdatePart<'a> {
    /// As many entries as the platform's channel counts for this part, in a fleet with so many classes.
    pub fn channel_entries(&self, class_count: usize) -> usize {
        let endpoints = self.entries.len() + self.eject.len() + self.restore.len();
        let classes = self.classes.as_ref().map_or(class_count, Vec::len);
        let admissions = if self.admission.is_some() { classes } else { 0 };
        endpoints + admissions + usize::from(self.replaces_table) + usize::from(self.nonce.is_some())
    }

    /// Splits a part whose entries are too many for a line.
    fn into_lines(mut self) -> Vec<UpdatePart<'a>> {
        let mut chunks = chunks_of_entries(std::mem::take(&mut self.entries)).into_iter();
        let classes = self.classes.clone();
        let nonce = self.nonce.take();
        self.entries = chunks.next().unwrap_or_default();
        let mut lines = vec![self];
        lines.extend(chunks.map(|entries| UpdatePart {
            classes: classes.clone(),
            entries,
            ..UpdatePart::default()
        }));
        // The nonce stands behind all entries, as it acknowledges them.
        if let Some(last) = lines.last_mut() {
            last.nonce = nonce;
        }
        lines
    }
}

/// Splits entries so that each chunk fits in a line; there is always one chunk.
fn chunks_of_entries(entries: Vec<EntryChange>) -> Vec<Vec<EntryChange>> {
    let mut full = Vec::new();
    let mut chunk = Vec::new();
    let mut chunk_bytes = 0;
    for entry in entries {
        let entry_bytes = entry.endpoint.len() + ENTRY_OVERHEAD_BYTES;
        if chunk_bytes + entry_bytes > MAX_PART_BYTES {
            full.push(std::mem::take(&mut chunk));
            chunk_bytes = 0;
        }
        chunk_bytes += entry_bytes;
        chunk.push(entry);
    }
    full.push(chunk);
    full
}

/// The parts of one message, as they go on a stream.
pub fn encode_message(parts: Vec<UpdatePart>) -> String {
    let mut lines: Vec<UpdatePart> = parts.into_iter().flat_map(UpdatePart::into_lines).collect();
    if let Some((_last, others)) = lines.split_last_mut() {
        others.iter_mut().for_each(|line| line.is_continued = true);
    }
    lines.iter().map(encode_line).collect()
}

fn encode_line(value: &impl Serialize) -> String {
    // Texts, numbers and lists of them always have a form in JSON.
    serde_json::to_string(value).unwrap_or_default() + "\n"
}

fn is_false(flag: &bool) -> bool {
    !*flag
}
