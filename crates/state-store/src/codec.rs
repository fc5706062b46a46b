//! Maps entries and headers to the stored protobuf messages and back. No other module knows the names of their fields.

use protobuf::Message;

use crate::entry::{Entry, EntryKey, EntryValue, RecordedEndpoint};
use crate::frame::{FORMAT_VERSION, FrameKind};
use crate::identity::StoreIdentity;
use crate::proto;

/// What the first frame of a file says.
pub(crate) struct FileHeader {
    pub format: u32,
    pub identity: StoreIdentity,
}

/// The message of a file's first frame.
pub(crate) fn encode_header(identity: &StoreIdentity, number: u64) -> proto::Header {
    proto::Header {
        format: FORMAT_VERSION,
        pilot: identity.controller.clone(),
        fleet: identity.fleet_digest,
        number,
        ..Default::default()
    }
}

/// The header in a frame, or `None` if the frame is no header.
pub(crate) fn decode_header(kind: u8, payload: &[u8]) -> Option<FileHeader> {
    if kind != FrameKind::Header as u8 {
        return None;
    }
    let header = proto::Header::parse_from_bytes(payload).ok()?;
    let identity = StoreIdentity { controller: header.pilot, fleet_digest: header.fleet };
    Some(FileHeader { format: header.format, identity })
}

/// The message of a snapshot's last frame.
pub(crate) fn encode_end(entry_count: usize) -> proto::End {
    proto::End { entries: entry_count as u64, ..Default::default() }
}

/// The number of entries that a snapshot's last frame states, or `None` if it can't be read.
pub(crate) fn decode_end(payload: &[u8]) -> Option<u64> {
    proto::End::parse_from_bytes(payload).ok().map(|end| end.entries)
}

/// The message of an entry.
pub(crate) fn encode_entry(entry: &Entry) -> proto::Entry {
    let what = match (&entry.key, &entry.value) {
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
        (key, value) => unreachable!("{key:?} is not {value:?}"),
    };
    proto::Entry { at_ms: entry.at_ms, what: Some(what), ..Default::default() }
}

fn encode_endpoint(name: &str, endpoint: &RecordedEndpoint) -> proto::Server {
    proto::Server {
        name: name.into(),
        zone: endpoint.zone.clone(),
        kind: endpoint.machine_type.clone(),
        gone: endpoint.removed,
        draining: endpoint.draining,
        // The stored counter is one higher, so that 0 stands for unknown.
        counter: endpoint.health_counter.map_or(0, |counter| counter + 1),
        doubted_until_ms: endpoint.outlier_until_ms,
        started_ms: endpoint.started_ms,
        warm_ms: endpoint.slow_start_until_ms,
        relief: endpoint.weight_factor,
        ..Default::default()
    }
}

/// The entry in a frame. `None` if only a later program knows its kind, or if a value is out of its range.
pub(crate) fn decode_entry(kind: u8, payload: &[u8]) -> Option<Entry> {
    if kind != FrameKind::Entry as u8 {
        return None;
    }
    let message = proto::Entry::parse_from_bytes(payload).ok()?;
    let (key, what) = match message.what? {
        proto::entry::What::Server(endpoint) => decode_endpoint(endpoint)?,
        proto::entry::What::Level(admission) => {
            let admission_rate = fraction(admission.level)?;
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
    Some(Entry { at_ms: message.at_ms, key, value: what })
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
        weight_factor: fraction(endpoint.relief)?,
    };
    Some((EntryKey::Endpoint(endpoint.name), EntryValue::Endpoint(value)))
}

fn fraction(value: f64) -> Option<f64> {
    (0.0..=1.0).contains(&value).then_some(value)
}
