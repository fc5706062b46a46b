//! The table of `show stat`: counters as CSV.

use std::fmt::Write;

use super::error::TableError;

/// The columns of `show stat`, in the order of HAProxy. Further columns may follow those of HAProxy, as parsers must
/// expect. `ttot_ok` is such an extension: the sum of the latencies of all successful attempts since the start, in
/// milliseconds.
pub const STAT_COLUMNS: &str = "pxname,svname,qcur,qmax,scur,smax,slim,stot,bin,bout,dreq,dresp,ereq,econ,eresp,wretr,\
wredis,status,weight,act,bck,chkfail,chkdown,lastchg,downtime,qlimit,pid,iid,sid,throttle,lbtot,tracked,type,rate,\
rate_lim,rate_max,check_status,check_code,check_duration,hrsp_1xx,hrsp_2xx,hrsp_3xx,hrsp_4xx,hrsp_5xx,hrsp_other,\
hanafail,req_rate,req_rate_max,req_tot,cli_abrt,srv_abrt,comp_in,comp_out,comp_byp,comp_rsp,lastsess,last_chk,\
last_agt,qtime,ctime,rtime,ttime,ttot_ok";

/// The values of the column `type`.
const TYPE_FRONTEND: u64 = 0;
const TYPE_BACKEND: u64 = 1;
const TYPE_SERVER: u64 = 2;

/// A row of `show stat` for a frontend, a backend or a server. Counters start at 0 when the process starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatRow {
    /// The name of the class for a frontend, otherwise of the table.
    pub name: String,
    /// `FRONTEND`, `BACKEND` or the endpoint's name.
    pub endpoint: String,
    /// The state, by the names of HAProxy.
    pub status: String,
    /// The current weight.
    pub weight: u64,
    /// The number of attempts in flight; `None` if not reported.
    pub in_flight: Option<u64>,
    /// The number of requests at a frontend, or of attempts that ended with an outcome at an endpoint.
    pub total: u64,
    /// The number of attempts abandoned by their clients, not included in `total`; `None` if not reported.
    pub abandoned: Option<u64>,
    /// The number of requests shed by the admission rate.
    pub shed: u64,
    /// The number of attempts that failed to connect.
    pub connect_errors: u64,
    /// The number of attempts of which the connection failed or the time limit expired.
    pub response_errors: u64,
    /// The number of responses with a status code of 500 or above.
    pub responses_5xx: u64,
    /// The mean latency of recent successful attempts, in milliseconds.
    pub mean_latency_ms: u64,
    /// The sum of the latencies of successful attempts, in milliseconds; `None` if not reported.
    pub total_latency_ms: Option<u64>,
}

impl StatRow {
    /// Returns the number of failed attempts. Each is counted in exactly one of the three error counters.
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

    /// Returns the number in a column; `None` for text columns and empty columns.
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
                    // Writing to a String can't fail.
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

/// Parses the table. Columns are found by the names in the header, so that they may have any order and unknown ones are
/// ignored. Empty values count as missing.
///
/// # Errors
/// The table is malformed.
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
        let result = setter(&mut row, value);
        result.map_err(|NotANumber| TableError::NotANumber { row: number, value: value.to_string() })?;
    }
    // The header ends with a comma, after which it has an empty column that rows may lack.
    if found < setters.len().saturating_sub(1) || row.name.is_empty() || row.endpoint.is_empty() {
        return Err(TableError::IncompleteRow { row: number, found, expected: setters.len() });
    }
    Ok(row)
}

/// The error of parsing a value that is not an integer.
struct NotANumber;

/// A function that parses the value of a column and stores it in the row.
type Setter = fn(&mut StatRow, &str) -> Result<(), NotANumber>;

/// Returns the setter of a column; `None` for columns that are ignored.
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
