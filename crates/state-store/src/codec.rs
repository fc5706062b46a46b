//! Converts entries and headers to the stored protobuf messages and back. No other module uses the messages' field
//! names.

use protobuf::Message;

use crate::entry::{Entry, EntryKey, EntryValue, RecordedEndpoint};
use crate::frame::{FORMAT_VERSION, FrameKind};
use crate::identity::StoreIdentity;
use crate::proto;

/// Content of the first frame of a file.
pub(crate) struct FileHeader {
    pub format: u32,
    pub identity: StoreIdentity,
}

/// Returns the message for the first frame of a file.
pub(crate) fn encode_header(identity: &StoreIdentity, number: u64) -> proto::Header {
    proto::Header {
        format: FORMAT_VERSION,
        pilot: identity.controller.clone(),
        fleet: identity.fleet_digest,
        number,
        ..Default::default()
    }
}

/// Decodes the header in a frame; returns `None` if the frame is not a valid header.
pub(crate) fn decode_header(kind: u8, payload: &[u8]) -> Option<FileHeader> {
    if kind != FrameKind::Header as u8 {
        return None;
    }
    let header = proto::Header::parse_from_bytes(payload).ok()?;
    let identity = StoreIdentity { controller: header.pilot, fleet_digest: header.fleet };
    Some(FileHeader { format: header.format, identity })
}

/// Returns the message for the last frame of a snapshot.
pub(crate) fn encode_end(entry_count: usize) -> proto::End {
    proto::End { entries: entry_count as u64, ..Default::default() }
}

/// Decodes the number of entries that the last frame of a snapshot states; returns `None` if the payload is malformed.
pub(crate) fn decode_end(payload: &[u8]) -> Option<u64> {
    proto::End::parse_from_bytes(payload).ok().map(|end| end.entries)
}

/// Returns the message of an entry. Panics if the variants of key and value differ.
pub(crate) fn encode_entry(entry: &Entry) -> proto::Entry {
    let stored = match (&entry.key, &entry.value) {
        (EntryKey::Endpoint(name), EntryValue::Endpoint(endpoint)) => {
            proto::entry::What::Server(encode_endpoint(name, endpoint))
        }
        (EntryKey::AdmissionRate(class, table), EntryValue::AdmissionRate(admission_rate)) => {
            proto::entry::What::Level(proto::Level {
                class: class.clone(),
                table: *table,
                level: *admission_rate,
                ..Default::default()
            })
        }
        (EntryKey::Capacity(endpoint), EntryValue::Capacity(cores)) => {
            proto::entry::What::Size(proto::Size {
                server: endpoint.clone(),
                cores: *cores,
                ..Default::default()
            })
        }
        (key, value) => unreachable!("variants of key {key:?} and value {value:?} differ"),
    };
    proto::Entry { at_ms: entry.at_ms, what: Some(stored), ..Default::default() }
}

fn encode_endpoint(name: &str, endpoint: &RecordedEndpoint) -> proto::Server {
    proto::Server {
        name: name.into(),
        zone: endpoint.zone.clone(),
        kind: endpoint.machine_type.clone(),
        gone: endpoint.removed,
        draining: endpoint.draining,
        // The stored counter is one higher, because 0 means unknown.
        counter: endpoint.health_counter.map_or(0, |counter| counter + 1),
        doubted_until_ms: endpoint.outlier_until_ms,
        started_ms: endpoint.started_ms,
        warm_ms: endpoint.slow_start_until_ms,
        relief: endpoint.weight_factor,
        ..Default::default()
    }
}

/// Decodes the entry in a frame. Returns `None` if the frame or the entry is of an unknown kind, which a newer version
/// may have written, or if a value is out of range.
pub(crate) fn decode_entry(kind: u8, payload: &[u8]) -> Option<Entry> {
    if kind != FrameKind::Entry as u8 {
        return None;
    }
    let message = proto::Entry::parse_from_bytes(payload).ok()?;
    let (key, value) = match message.what? {
        proto::entry::What::Server(endpoint) => decode_endpoint(endpoint)?,
        proto::entry::What::Level(admission) => {
            let admission_rate = valid_fraction(admission.level)?;
            (
                EntryKey::AdmissionRate(admission.class, admission.table),
                EntryValue::AdmissionRate(admission_rate),
            )
        }
        proto::entry::What::Size(capacity) => {
            let cores = Some(capacity.cores).filter(|cores| cores.is_finite() && *cores > 0.0)?;
            (EntryKey::Capacity(capacity.server), EntryValue::Capacity(cores))
        }
    };
    Some(Entry { at_ms: message.at_ms, key, value })
}

fn decode_endpoint(endpoint: proto::Server) -> Option<(EntryKey, EntryValue)> {
    let value = RecordedEndpoint {
        zone: endpoint.zone,
        machine_type: endpoint.kind,
        removed: endpoint.gone,
        draining: endpoint.draining,
        health_counter: endpoint.counter.checked_sub(1),
        outlier_until_ms: endpoint.doubted_until_ms,
        started_ms: endpoint.started_ms,
        slow_start_until_ms: endpoint.warm_ms,
        weight_factor: valid_fraction(endpoint.relief)?,
    };
    Some((EntryKey::Endpoint(endpoint.name), EntryValue::Endpoint(value)))
}

fn valid_fraction(value: f64) -> Option<f64> {
    (0.0..=1.0).contains(&value).then_some(value)
}
