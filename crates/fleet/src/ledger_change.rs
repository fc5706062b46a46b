//! One change at a proxy, and when it comes within a message.

use std::net::SocketAddr;

use lockcroft::{ClassId, EndpointId, TableId};

use crate::applied_entry::{AppliedEntry, Backend};

/// What a command changes at the proxy.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    AddEntry { backend: Backend, endpoint: EndpointId, entry: AppliedEntry },
    SetWeight { backend: Backend, endpoint: EndpointId, weight: u32 },
    SetMaintenance { backend: Backend, endpoint: EndpointId, in_maintenance: bool },
    SetAddress { backend: Backend, endpoint: EndpointId, address: SocketAddr },
    DeleteEntry { backend: Backend, endpoint: EndpointId },
    MapClass { class: ClassId, table: TableId, is_mapped: bool },
    SetAdmission { class: ClassId, thousandths: u32 },
    SetRetry { class: ClassId, retry: bool },
}

impl Change {
    /// Whether the response says that it was done.
    pub fn succeeded(&self, response: &str) -> bool {
        match self {
            Change::AddEntry { .. } => response.starts_with("New server registered"),
            Change::SetAddress { .. } => response.contains("changed"),
            // Requests may still be in flight there; in maintenance as it is, the entry does no harm.
            Change::DeleteEntry { .. } => true,
            _ => response.is_empty(),
        }
    }
}

/// When a change comes within a message: what adds capacity comes before what takes it away, so that a proxy that
/// stops half way has too much rather than nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangePhase {
    AddCapacity,
    Admission,
    ClassMap,
    RemoveCapacity,
    Ejection,
}
