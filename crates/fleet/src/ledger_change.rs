//! A change at a proxy, and its position in an update message.

use std::net::SocketAddr;

use lockcroft::{ClassId, EndpointId, TableId};

use crate::applied_entry::{AppliedEntry, Backend};

/// A change that one command makes at the proxy.
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
    /// Returns true if the response says that the proxy carried the command out.
    pub fn succeeded(&self, response: &str) -> bool {
        match self {
            Change::AddEntry { .. } => response.starts_with("New server registered"),
            Change::SetAddress { .. } => response.contains("changed"),
            // A refusal means that requests are still in flight; the entry is in maintenance and may remain.
            Change::DeleteEntry { .. } => true,
            _ => response.is_empty(),
        }
    }
}

/// The order of changes within a message. Changes that add capacity come before those that remove it, so that a proxy
/// that stops partway has excess capacity rather than none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangePhase {
    AddCapacity,
    Admission,
    ClassMap,
    RemoveCapacity,
    Ejection,
}
