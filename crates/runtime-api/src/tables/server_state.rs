//! The table of `show servers state`, format version 1.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::error::TableError;

/// The bit of `srv_admin_state` for a server that a command put into maintenance.
pub const FORCED_MAINT: u32 = 0x01;
/// The bit of `srv_admin_state` for a server that a command set to drain.
pub const FORCED_DRAIN: u32 = 0x08;

/// Values of `srv_op_state` for a stopped and a running server.
const STOPPED: u32 = 0;
const RUNNING: u32 = 2;

const COLUMNS: &str = "be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight \
srv_time_since_last_change srv_check_status srv_check_result srv_check_health srv_check_state srv_agent_state \
bk_f_forced_id srv_f_forced_id srv_fqdn srv_port srvrecord srv_use_ssl srv_check_port srv_check_addr \
srv_agent_addr srv_agent_port";

/// A row of `show servers state`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerStateRow {
    /// The name of the backend, which is a routing table.
    pub backend: String,
    /// The endpoint's name.
    pub endpoint: String,
    /// The endpoint's IP address.
    pub address: String,
    /// The endpoint's port.
    pub port: u16,
    /// True if the operational state is anything but stopped.
    pub is_running: bool,
    /// The administrative state: bits such as [`FORCED_MAINT`] and [`FORCED_DRAIN`].
    pub admin_state: u32,
    /// The current weight.
    pub weight: u32,
    /// The rise/fall counter of the controller, in HAProxy's column for check health.
    pub health: u32,
}

/// Writes the table. Backends are numbered in order of their first row.
#[must_use]
pub fn write_server_states(rows: &[ServerStateRow]) -> String {
    let mut text = format!("1\n# {COLUMNS}\n");
    let mut backend_ids: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, row) in rows.iter().enumerate() {
        let next_id = backend_ids.len() + 1;
        let backend_id = *backend_ids.entry(&row.backend).or_insert(next_id);
        let server_id = index + 1;
        let state = if row.is_running { RUNNING } else { STOPPED };
        let ServerStateRow {
            backend,
            endpoint: server,
            address,
            port,
            admin_state: admin,
            weight,
            health,
            ..
        } = row;
        // Writing to a String can't fail.
        let _ = writeln!(
            text,
            "{backend_id} {backend} {server_id} {server} {address} {state} {admin} {weight} {weight} 0 0 0 {health} \
             0 0 0 0 - {port} - 0 0 - - 0"
        );
    }
    text
}

/// Parses the table. Columns are found by the names in the header, so that they may have any order and unknown ones are
/// ignored.
///
/// # Errors
/// The table is malformed.
pub fn read_server_states(text: &str) -> Result<Vec<ServerStateRow>, TableError> {
    let mut lines = text.lines().filter(|line| !line.is_empty());
    match lines.next() {
        Some("1") => {}
        other => return Err(TableError::UnknownVersion(other.map(str::to_string))),
    }
    let header = lines.next().and_then(|line| line.strip_prefix("# ")).ok_or(TableError::MissingHeader)?;
    let columns = Columns::find(header)?;
    lines.enumerate().map(|(index, line)| columns.read_row(index + 1, line)).collect()
}

/// A column that is parsed, and its position in the header.
#[derive(Clone, Copy)]
struct Column {
    name: &'static str,
    position: usize,
}

impl Column {
    fn find(names: &[&str], name: &'static str) -> Result<Self, TableError> {
        let position = names.iter().position(|other| *other == name);
        Ok(Column { name, position: position.ok_or(TableError::MissingColumn(name))? })
    }
}

/// The columns that are parsed.
struct Columns {
    backend: Column,
    server: Column,
    address: Column,
    state: Column,
    admin: Column,
    weight: Column,
    health: Column,
    port: Column,
}

impl Columns {
    fn find(header: &str) -> Result<Self, TableError> {
        let names: Vec<&str> = header.split(' ').collect();
        Ok(Columns {
            backend: Column::find(&names, "be_name")?,
            server: Column::find(&names, "srv_name")?,
            address: Column::find(&names, "srv_addr")?,
            state: Column::find(&names, "srv_op_state")?,
            admin: Column::find(&names, "srv_admin_state")?,
            weight: Column::find(&names, "srv_uweight")?,
            health: Column::find(&names, "srv_check_health")?,
            port: Column::find(&names, "srv_port")?,
        })
    }

    fn read_row(&self, number: usize, line: &str) -> Result<ServerStateRow, TableError> {
        let row = Row { number, values: line.split(' ').collect() };
        Ok(ServerStateRow {
            backend: row.text(self.backend)?.into(),
            endpoint: row.text(self.server)?.into(),
            address: row.text(self.address)?.into(),
            port: u16::try_from(row.number(self.port)?)?,
            is_running: row.number(self.state)? != STOPPED,
            admin_state: row.number(self.admin)?,
            weight: row.number(self.weight)?,
            health: row.number(self.health)?,
        })
    }
}

/// The values of one row.
struct Row<'a> {
    number: usize,
    values: Vec<&'a str>,
}

impl<'a> Row<'a> {
    fn text(&self, column: Column) -> Result<&'a str, TableError> {
        let value = self.values.get(column.position).copied();
        value.ok_or(TableError::ShortRow { row: self.number, found: self.values.len() })
    }

    fn number(&self, column: Column) -> Result<u32, TableError> {
        let value = self.text(column)?;
        value.parse().map_err(|_| TableError::InvalidColumn {
            row: self.number,
            column: column.name,
            value: value.to_string(),
        })
    }
}
