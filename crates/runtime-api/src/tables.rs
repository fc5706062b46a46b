//! The tables that the guide prints in columns, written and read: `show stat`, `show servers state`.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

/// The columns of `show stat`, in the guide's order. Behind the guide's come, as its readers must
/// expect, later ones: `ttot_ok` is this project's, the milliseconds of all answered tries since the start.
pub const STAT: &str = "pxname,svname,qcur,qmax,scur,smax,slim,stot,bin,bout,dreq,dresp,ereq,econ,eresp,wretr,\
wredis,status,weight,act,bck,chkfail,chkdown,lastchg,downtime,qlimit,pid,iid,sid,throttle,lbtot,tracked,type,rate,\
rate_lim,rate_max,check_status,check_code,check_duration,hrsp_1xx,hrsp_2xx,hrsp_3xx,hrsp_4xx,hrsp_5xx,hrsp_other,\
hanafail,req_rate,req_rate_max,req_tot,cli_abrt,srv_abrt,comp_in,comp_out,comp_byp,comp_rsp,lastsess,last_chk,\
last_agt,qtime,ctime,rtime,ttime,ttot_ok";

/// One row of `show stat`: a frontend, backend or server with what is known of it. Counters run
/// since the start of the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatRow {
    pub name: String,
    /// `FRONTEND`, `BACKEND` or the server's name.
    pub server: String,
    pub status: String,
    pub weight: u64,
    /// Sessions: tries at a server, visits at a frontend.
    pub total: u64,
    /// Visits refused by a level.
    pub denied: u64,
    pub connect_failed: u64,
    pub answer_failed: u64,
    pub answered_5xx: u64,
    /// Milliseconds: the guide's mean over the last 1,024, and the sum since the start where it is given.
    pub mean_ms: u64,
    pub sum_ms: Option<u64>,
}

impl StatRow {
    /// Tries that ended badly; each is counted in one of the three.
    pub fn failed(&self) -> u64 {
        self.connect_failed + self.answer_failed + self.answered_5xx
    }
}

/// The whole sheet, with its header.
pub fn write_stat(rows: &[StatRow]) -> String {
    let names: Vec<&str> = STAT.split(',').collect();
    let mut text = format!("# {STAT},\n");
    for row in rows {
        for name in &names {
            let number = match *name {
                "pxname" => {
                    text.push_str(&row.name);
                    None
                }
                "svname" => {
                    text.push_str(&row.server);
                    None
                }
                "status" => {
                    text.push_str(&row.status);
                    None
                }
                "type" => Some(match row.server.as_str() {
                    "FRONTEND" => 0,
                    "BACKEND" => 1,
                    _ => 2,
                }),
                "weight" => Some(row.weight),
                "stot" | "req_tot" => Some(row.total),
                "dreq" => Some(row.denied),
                "econ" => Some(row.connect_failed),
                "eresp" => Some(row.answer_failed),
                "hrsp_5xx" => Some(row.answered_5xx),
                "rtime" => Some(row.mean_ms),
                "ttot_ok" => row.sum_ms,
                _ => None,
            };
            if let Some(number) = number {
                // Writing to a String cannot fail.
                let _ = write!(text, "{number}");
            }
            text.push(',');
        }
        text.push('\n');
    }
    text
}

/// Reads a sheet by the names in its header, so that columns may be added and moved.
///
/// # Errors
/// Says what is wrong with which line.
pub fn read_stat(text: &str) -> Result<Vec<StatRow>, String> {
    let mut lines = text.lines().filter(|line| !line.is_empty());
    let header = lines.next().and_then(|line| line.strip_prefix("# ")).ok_or("no header of show stat")?;
    let places: Vec<Option<Place>> = header.split(',').map(place).collect();
    let mut rows = Vec::new();
    for (number, line) in lines.enumerate() {
        let mut row = StatRow::default();
        let mut found = 0;
        for (value, place) in line.split(',').zip(&places) {
            found += 1;
            let (Some(place), false) = (place, value.is_empty()) else { continue };
            place(&mut row, value).map_err(|wrong| format!("row {}: {wrong}: {value:?}", number + 1))?;
        }
        if found < places.len().saturating_sub(1) || row.name.is_empty() || row.server.is_empty() {
            return Err(format!("row {}: {found} of {} columns", number + 1, places.len()));
        }
        rows.push(row);
    }
    Ok(rows)
}

type Place = fn(&mut StatRow, &str) -> Result<(), &'static str>;

fn place(name: &str) -> Option<Place> {
    fn number(value: &str) -> Result<u64, &'static str> {
        value.parse().map_err(|_| "not a whole number")
    }
    Some(match name {
        "pxname" => |row, value| {
            row.name = value.into();
            Ok(())
        },
        "svname" => |row, value| {
            row.server = value.into();
            Ok(())
        },
        "status" => |row, value| {
            row.status = value.into();
            Ok(())
        },
        "weight" => |row, value| number(value).map(|n| row.weight = n),
        "stot" => |row, value| number(value).map(|n| row.total = n),
        "dreq" => |row, value| number(value).map(|n| row.denied = n),
        "econ" => |row, value| number(value).map(|n| row.connect_failed = n),
        "eresp" => |row, value| number(value).map(|n| row.answer_failed = n),
        "hrsp_5xx" => |row, value| number(value).map(|n| row.answered_5xx = n),
        "rtime" => |row, value| number(value).map(|n| row.mean_ms = n),
        "ttot_ok" => |row, value| number(value).map(|n| row.sum_ms = Some(n)),
        _ => return None,
    })
}

/// Bits of `srv_admin_state`, as the guide lists them.
pub const FORCED_MAINT: u32 = 0x01;
pub const FORCED_DRAIN: u32 = 0x08;

const STATE: &str = "be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_iweight \
srv_time_since_last_change srv_check_status srv_check_result srv_check_health srv_check_state srv_agent_state \
bk_f_forced_id srv_f_forced_id srv_fqdn srv_port srvrecord srv_use_ssl srv_check_port srv_check_addr \
srv_agent_addr srv_agent_port";

/// One row of `show servers state`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateRow {
    pub backend: String,
    pub server: String,
    pub address: String,
    pub port: u16,
    /// 2 is running, 0 stopped.
    pub running: bool,
    pub admin: u32,
    pub weight: u32,
    /// The guide's check health: here the decisions' counter.
    pub health: u32,
}

/// The sheet in the guide's version 1; backends are numbered in the order in which they come.
pub fn write_states(rows: &[StateRow]) -> String {
    let mut text = format!("1\n# {STATE}\n");
    let mut backends: BTreeMap<&str, usize> = BTreeMap::new();
    for (number, row) in rows.iter().enumerate() {
        let next = backends.len() + 1;
        let backend = *backends.entry(&row.backend).or_insert(next);
        let (state, number) = (if row.running { 2 } else { 0 }, number + 1);
        let StateRow { backend: name, server, address, port, admin, weight, health, .. } = row;
        let _ = writeln!(
            text,
            "{backend} {name} {number} {server} {address} {state} {admin} {weight} {weight} 0 0 0 {health} \
             0 0 0 0 - {port} - 0 0 - - 0"
        );
    }
    text
}

/// # Errors
/// Says what is wrong with which line.
pub fn read_states(text: &str) -> Result<Vec<StateRow>, String> {
    let mut lines = text.lines().filter(|line| !line.is_empty());
    match lines.next() {
        Some("1") => {}
        other => return Err(format!("show servers state: version 1 expected, not {other:?}")),
    }
    let header = lines.next().and_then(|line| line.strip_prefix("# ")).ok_or("no header")?;
    let names: Vec<&str> = header.split(' ').collect();
    let at = |name: &str| names.iter().position(|n| *n == name).ok_or(format!("no column {name}"));
    let (backend, server, address) = (at("be_name")?, at("srv_name")?, at("srv_addr")?);
    let (state, admin, weight) = (at("srv_op_state")?, at("srv_admin_state")?, at("srv_uweight")?);
    let (health, port) = (at("srv_check_health")?, at("srv_port")?);
    let row = |(number, line): (usize, &str)| {
        let words: Vec<&str> = line.split(' ').collect();
        let word = |place: usize| {
            words.get(place).copied().ok_or_else(|| format!("row {}: {} columns", number + 1, words.len()))
        };
        let number = |place: usize| {
            let value = word(place)?;
            value.parse::<u32>().map_err(|_| format!("row {}: {}: {value:?}", number + 1, names[place]))
        };
        Ok(StateRow {
            backend: word(backend)?.into(),
            server: word(server)?.into(),
            address: word(address)?.into(),
            port: u16::try_from(number(port)?).map_err(|e| e.to_string())?,
            running: number(state)? != 0,
            admin: number(admin)?,
            weight: number(weight)?,
            health: number(health)?,
        })
    };
    lines.enumerate().map(row).collect()
}

/// The variable that holds something of a class at a proxy, as `proc.level_look_up`: the guide's names
/// have no dashes.
pub fn class_variable(what: &str, class: &str) -> String {
    format!("proc.{what}_{}", class.replace('-', "_"))
}

/// What two sides hold, as one number that they can compare: `get var proc.digest`. LineBuffer go in by
/// backend and server, then the entries of the map by class, then variables by name, each in the order
/// of their names.
#[derive(Clone, Debug, Default)]
pub struct Digest(String);

impl Digest {
    /// A line of a backend; barred: it takes no visits, whatever its weight.
    pub fn line(&mut self, backend: &str, server: &str, address: SocketAddr, weight: u32, barred: bool) {
        // Writing to a String cannot fail.
        let _ = writeln!(self.0, "{backend} {server} {address} {weight} {barred}");
    }

    pub fn bound(&mut self, class: &str, backend: &str) {
        let _ = writeln!(self.0, "{class} {backend}");
    }

    pub fn variable(&mut self, name: &str, value: i64) {
        let _ = writeln!(self.0, "{name} {value}");
    }

    /// Not negative: half of the hash's range.
    pub fn value(&self) -> i64 {
        (xxhash_rust::xxh3::xxh3_64(self.0.as_bytes()) >> 1) as i64
    }
}
