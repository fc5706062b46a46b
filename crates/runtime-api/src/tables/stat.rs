//! `show stat`: counters as CSV.

use std::fmt::Write;

use super::error::TableError;

/// The columns of `show stat`, in HAProxy's order. Behind them come others, as readers must expect: `ttot_ok` is
/// this project's, the milliseconds of all successful attempts since the start.
pub const STAT_COLUMNS: &str = "pxname,svname,qcur,qmax,scur,smax,slim,stot,bin,bout,dreq,dresp,ereq,econ,eresp,wretr,\
wredis,status,weight,act,bck,chkfail,chkdown,lastchg,downtime,qlimit,pid,iid,sid,throttle,lbtot,tracked,type,rate,\
rate_lim,rate_max,check_status,check_code,check_duration,hrsp_1xx,hrsp_2xx,hrsp_3xx,hrsp_4xx,hrsp_5xx,hrsp_other,\
hanafail,req_rate,req_rate_max,req_tot,cli_abrt,srv_abrt,comp_in,comp_out,comp_byp,comp_rsp,lastsess,last_chk,\
last_agt,qtime,ctime,rtime,ttime,ttot_ok";

/// The values of the column `type`.
const TYPE_FRONTEND: u64 = 0;
const TYPE_BACKEND: u64 = 1;
const TYPE_SERVER: u64 = 2;

/// One row of `show stat`: a frontend, backend or server with what is known of it. Counters run since the
/// start of the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatRow {
    /// The class, for a frontend, or the table.
    pub name: String,
    /// `FRONTEND`, `BACKEND` or the endpoint's name.
    pub endpoint: String,
    /// The state in HAProxy's words.
    pub status: String,
    /// The weight in force.
    pub weight: u64,
    /// Attempts that have not ended, where it is given.
    pub in_flight: Option<u64>,
    /// Requests at a frontend, attempts that ended with an outcome at an endpoint.
    pub total: u64,
    /// Attempts abandoned by their clients, where it is given; they are not in `total`.
    pub abandoned: Option<u64>,
    /// Requests shed by the admission rate.
    pub shed: u64,
    /// Attempts that ended without a connection.
    pub connect_errors: u64,
    /// Attempts that broke or ran into the time limit.
    pub response_errors: u64,
    /// Attempts answered with a status from 500 on.
    pub responses_5xx: u64,
    /// Mean latency of recent successful attempts, in milliseconds.
    pub mean_latency_ms: u64,
    /// Sum of the latencies of successful attempts in milliseconds, where it is given.
    pub total_latency_ms: Option<u64>,
}

impl StatRow {
    /// Attempts that failed; each is counted in one of the three.
    #[must_use]
    pub fn failed(&self) -> u64 {
        self.connect_errors + self.response_errors + self.responses_5xx
    }

    fn row_type(&self) -> u64 {
        match self.endpoint.as_str() {
            "FRONTEND" => TYPE_FRONTEND,
            "BACKEND" => TYPE_BACKEND,
            _ => TYPE_SERVER,
        }
    }

    /// The number in a column; `None` for columns of text, and for those that are left empty.
    fn number(&self, column: &str) -> Option<u64> {
        match column {
            "type" => Some(self.row_type()),
            "weight" => Some(self.weight),
            "scur" => self.in_flight,
            "stot" | "req_tot" => Some(self.total),
            "cli_abrt" => self.abandoned,
            "dreq" => Some(self.shed),
            "econ" => Some(self.connect_errors),
            "eresp" => Some(self.response_errors),
            "hrsp_5xx" => Some(self.responses_5xx),
            "rtime" => Some(self.mean_latency_ms),
            "ttot_ok" => self.total_latency_ms,
            _ => None,
        }
    }

    fn write_column(&self, column: &str, text: &mut String) {
        match column {
            "pxname" => text.push_str(&self.name),
            "svname" => text.push_str(&self.endpoint),
            "status" => text.push_str(&self.status),
            _ => {
                if let Some(number) = self.number(column) {
                    // Writing to a String cannot fail.
                    let _ = write!(text, "{number}");
                }
            }
        }
    }
}

/// Writes the table with its header.
#[must_use]
pub fn write_stat(rows: &[StatRow]) -> String {
    let columns: Vec<&str> = STAT_COLUMNS.split(',').collect();
    let mut text = format!("# {STAT_COLUMNS},\n");
    for row in rows {
        for column in &columns {
            row.write_column(column, &mut text);
            text.push(',');
        }
        text.push('\n');
    }
    text
}

/// Reads the table by the names in its header, so that columns may be added and moved.
///
/// # Errors
/// What is wrong, and in which row.
pub fn read_stat(text: &str) -> Result<Vec<StatRow>, TableError> {
    let mut lines = text.lines().filter(|line| !line.is_empty());
    let header =
        lines.next().and_then(|line| line.strip_prefix("# ")).ok_or(TableError::MissingStatHeader)?;
    let setters: Vec<Option<Setter>> = header.split(',').map(setter).collect();
    lines.enumerate().map(|(index, line)| read_row(index + 1, line, &setters)).collect()
}

fn read_row(number: usize, line: &str, setters: &[Option<Setter>]) -> Result<StatRow, TableError> {
    let mut row = StatRow::default();
    let mut found = 0;
    for (value, setter) in line.split(',').zip(setters) {
        found += 1;
        let Some(setter) = setter else { continue };
        if value.is_empty() {
            continue;
        }
        let set = setter(&mut row, value);
        set.map_err(|NotANumber| TableError::NotANumber { row: number, value: value.to_string() })?;
    }
    // The line ends with a comma, behind which there is no column.
    if found < setters.len().saturating_sub(1) || row.name.is_empty() || row.endpoint.is_empty() {
        return Err(TableError::IncompleteRow { row: number, found, expected: setters.len() });
    }
    Ok(row)
}

struct NotANumber;

/// Sets what a column holds.
type Setter = fn(&mut StatRow, &str) -> Result<(), NotANumber>;

/// The setter of a column; `None` for columns that are not read.
fn setter(column: &str) -> Option<Setter> {
    Some(match column {
        "pxname" => |row, value| {
            row.name = value.into();
            Ok(())
        },
        "svname" => |row, value| {
            row.endpoint = value.into();
            Ok(())
        },
        "status" => |row, value| {
            row.status = value.into();
            Ok(())
        },
        "weight" => |row, value| parse(value).map(|number| row.weight = number),
        "scur" => |row, value| parse(value).map(|number| row.in_flight = Some(number)),
        "stot" => |row, value| parse(value).map(|number| row.total = number),
        "cli_abrt" => |row, value| parse(value).map(|number| row.abandoned = Some(number)),
        "dreq" => |row, value| parse(value).map(|number| row.shed = number),
        "econ" => |row, value| parse(value).map(|number| row.connect_errors = number),
        "eresp" => |row, value| parse(value).map(|number| row.response_errors = number),
        "hrsp_5xx" => |row, value| parse(value).map(|number| row.responses_5xx = number),
        "rtime" => |row, value| parse(value).map(|number| row.mean_latency_ms = number),
        "ttot_ok" => |row, value| parse(value).map(|number| row.total_latency_ms = Some(number)),
        _ => return None,
    })
}

fn parse(value: &str) -> Result<u64, NotANumber> {
    value.parse().map_err(|_| NotANumber)
}
