//! Commands of the runtime API for changes at a proxy.

use std::fmt::{self, Write};

use lockcroft::EndpointId;
use lockcroft_host::PublishedTables;
use lockcroft_runtime_api::tables::class_variable_name;

use crate::applied_entry::Backend;
use crate::applied_state::AppliedState;
use crate::endpoint_list::EndpointList;
use crate::ledger_change::Change;
use crate::weight_scale::WeightScale;

/// The published state and the names that the commands of an update are built from.
pub struct UpdateContext<'a> {
    pub published: &'a PublishedTables,
    pub endpoints: &'a EndpointList,
    pub classes: &'a [String],
    pub weight_scale: WeightScale,
}

impl UpdateContext<'_> {
    /// Appends the command for a change to `text`. `applied` is the state of the proxy that the command is for.
    ///
    /// # Errors
    /// Returns the errors of writing to a `String`, which do not occur.
    pub fn write_command(&self, change: Change, applied: &AppliedState, text: &mut String) -> fmt::Result {
        let server_name = |backend: Backend, endpoint: EndpointId| {
            format!("{}/{}", applied.backend_name(backend), self.endpoints.name(endpoint))
        };
        match change {
            Change::AddEntry { backend, endpoint, entry } => {
                let address = entry.address_or_unspecified();
                write!(
                    text,
                    "add server {} {address} weight {}",
                    server_name(backend, endpoint),
                    entry.weight
                )
            }
            Change::DeleteEntry { backend, endpoint } => {
                write!(text, "del server {}", server_name(backend, endpoint))
            }
            Change::SetWeight { backend, endpoint, weight } => {
                write!(text, "set server {} weight {weight}", server_name(backend, endpoint))
            }
            Change::SetMaintenance { backend, endpoint, in_maintenance } => {
                let state = if in_maintenance { "maint" } else { "ready" };
                write!(text, "set server {} state {state}", server_name(backend, endpoint))
            }
            Change::SetAddress { backend, endpoint, address } => {
                let (ip, port) = (address.ip(), address.port());
                write!(text, "set server {} addr {ip} port {port}", server_name(backend, endpoint))
            }
            Change::MapClass { class, table, is_mapped } => {
                let verb = if is_mapped { "set" } else { "add" };
                write!(text, "{verb} map classes {} t{table}", self.classes[class])
            }
            Change::SetAdmission { class, thousandths } => {
                write!(
                    text,
                    "set var {} int({thousandths})",
                    class_variable_name("level", &self.classes[class])
                )
            }
            Change::SetRetry { class, retry } => {
                let name = class_variable_name("again", &self.classes[class]);
                write!(text, "set var {name} int({})", u8::from(retry))
            }
        }
    }
}
