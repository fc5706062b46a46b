//! Encodes messages to proxies and collectors as lines with one JSON object each. The field names of these messages
//! appear only in this module.

use lockcroft_host::Admission;
use serde::{Serialize, Serializer};
use serde_json::json;

use crate::inbound::MAX_MESSAGE_BYTES;

/// The number of distinct nonces: they count from 0 to below this and then start again from 0.
pub const NONCE_COUNT: u64 = 1 << 16;
/// The reply to a heartbeat.
pub const HEARTBEAT_REPLY: &str = "{\"t\":\"hb_ok\"}\n";
/// The maximum size of the entries in a part. A line is limited to [`MAX_MESSAGE_BYTES`], with all other fields.
const MAX_PART_BYTES: usize = MAX_MESSAGE_BYTES / 2;
/// The maximum size of an encoded entry without the endpoint's name.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Encodes the message that gives the reason for closing a connection.
pub fn encode_reject(reason: &str) -> String {
    encode_line(&json!({"t": "reject", "reason": reason}))
}

/// A part of a message to a proxy, with the changes for some of its classes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct UpdatePart<'a> {
    /// The kind of the message.
    #[serde(rename = "t")]
    pub kind: MessageKind,
    /// The classes that the part applies to; `None` for all classes.
    #[serde(rename = "routes", skip_serializing_if = "Option::is_none")]
    pub classes: Option<Vec<&'a str>>,
    /// True if the entries are the complete table. This also resets admission.
    #[serde(rename = "full", skip_serializing_if = "is_false")]
    pub replaces_table: bool,
    /// The changed entries.
    #[serde(rename = "endpoints", skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<EntryChange<'a>>,
    /// The new admission of the classes, if it changes.
    #[serde(flatten)]
    pub admission: Option<AdmissionChange>,
    /// Endpoints that the proxy must not use.
    #[serde(rename = "eject", skip_serializing_if = "Vec::is_empty")]
    pub eject: Vec<&'a str>,
    /// Endpoints that the proxy may use again.
    #[serde(rename = "restore", skip_serializing_if = "Vec::is_empty")]
    pub restore: Vec<&'a str>,
    /// The nonce that the proxy acknowledges after it has applied all messages up to this one.
    #[serde(rename = "nonce_out", skip_serializing_if = "Option::is_none")]
    pub nonce: Option<u64>,
    /// True if another part of the same message follows.
    #[serde(rename = "continued", skip_serializing_if = "is_false")]
    pub is_continued: bool,
}

/// The kind of an update message; there is only one.
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
    /// 1 if a request may be retried once after proof that the attempt was not executed, else 0.
    #[serde(rename = "policy")]
    retry_policy: u8,
}

impl From<Admission> for AdmissionChange {
    fn from(admission: Admission) -> Self {
        AdmissionChange { fraction: admission.fraction, retry_policy: u8::from(admission.retry) }
    }
}

impl<'a> UpdatePart<'a> {
    /// Returns the number of entries that the platform's channel counts for this part, in a fleet with `class_count`
    /// classes.
    pub fn channel_entries(&self, class_count: usize) -> usize {
        let endpoints = self.entries.len() + self.eject.len() + self.restore.len();
        let classes = self.classes.as_ref().map_or(class_count, Vec::len);
        let admissions = if self.admission.is_some() { classes } else { 0 };
        endpoints + admissions + usize::from(self.replaces_table) + usize::from(self.nonce.is_some())
    }

    /// Splits the part into parts that each fit in a line.
    fn into_lines(mut self) -> Vec<UpdatePart<'a>> {
        let mut chunks = split_entries(std::mem::take(&mut self.entries)).into_iter();
        let classes = self.classes.clone();
        let nonce = self.nonce.take();
        self.entries = chunks.next().unwrap_or_default();
        let mut lines = vec![self];
        lines.extend(chunks.map(|entries| UpdatePart {
            classes: classes.clone(),
            entries,
            ..UpdatePart::default()
        }));
        // The nonce acknowledges all entries, so it is sent with the last of them.
        if let Some(last) = lines.last_mut() {
            last.nonce = nonce;
        }
        lines
    }
}

/// Splits entries into chunks that each fit in a line; there is always at least one chunk.
fn split_entries(entries: Vec<EntryChange>) -> Vec<Vec<EntryChange>> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut chunk_bytes = 0;
    for entry in entries {
        let entry_bytes = entry.endpoint.len() + ENTRY_OVERHEAD_BYTES;
        if chunk_bytes + entry_bytes > MAX_PART_BYTES {
            chunks.push(std::mem::take(&mut chunk));
            chunk_bytes = 0;
        }
        chunk_bytes += entry_bytes;
        chunk.push(entry);
    }
    chunks.push(chunk);
    chunks
}

/// Encodes the parts of a message as lines of a stream.
pub fn encode_message(parts: Vec<UpdatePart>) -> String {
    let mut lines: Vec<UpdatePart> = parts.into_iter().flat_map(UpdatePart::into_lines).collect();
    if let Some((_last, others)) = lines.split_last_mut() {
        others.iter_mut().for_each(|line| line.is_continued = true);
    }
    lines.iter().map(encode_line).collect()
}

fn encode_line(value: &impl Serialize) -> String {
    // Serialization can't fail: the values contain only strings, numbers, booleans and arrays of them.
    serde_json::to_string(value).unwrap_or_default() + "\n"
}

fn is_false(flag: &bool) -> bool {
    !*flag
}
