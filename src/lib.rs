//! lockcroft decides, for a fleet of plain proxies, which servers each class of visits may use
//! and at what weight. All decisions are in [`logic`]; this crate knows no wire and no clock.

mod chance;
mod ledger;
pub mod logic;
mod terms;

pub use ledger::{Gate, Known, Table};
pub use logic::Pilot;
pub use terms::{Term, Terms};

use std::time::Duration;

/// Servers, proxies, zones and classes are small indices, given out by whoever hosts the pilot.
pub type Server = usize;
pub type Proxy = usize;
pub type Zone = usize;
pub type Kind = usize;
pub type Class = usize;
/// A table that proxies share; the pilot numbers its own.
pub type TableNumber = usize;

/// What the list of servers says of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Listing {
    pub server: Server,
    pub zone: Zone,
    pub kind: Kind,
    pub state: Listed,
    /// The listed weight; 1 where the list gives none.
    pub weight: f64,
    /// How long ago its process started; `None` if that was long ago.
    pub age: Option<Duration>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listed {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// How one probe ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Finding {
    /// Answered, with the share of its cores in use if the server tells.
    Passed(Option<f64>),
    /// Answered with an error, or not in time: the server may still be working.
    Failed,
    /// Nothing listens there, or the connection broke.
    Refused,
    /// Turned away, which says nothing of the server's health.
    TurnedAway,
    /// It ended at an address that the server has left since, which says nothing at all.
    Moved,
}

/// One decision, to be carried out by the host before it asks for the next. All decisions given
/// out at one time travel together, as one message to each proxy concerned.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Look at a server and tell [`Pilot::probed`].
    Probe(Server),
    /// Give a server this weight in a table; 0 takes it out.
    Weigh { table: TableNumber, server: Server, weight: f64 },
    /// Put a proxy on a table, for these classes.
    Bind { table: TableNumber, classes: Vec<Class>, proxy: Proxy },
    /// Keep every joined proxy from a server, whatever tables it holds, or end that.
    Withdraw { server: Server, withdrawn: bool },
    /// Let in this share of a class's visits at a table, and say whether proxies try once more after proof
    /// that a try never ran.
    Admit { table: TableNumber, class: Class, share: f64, second_try: bool },
    /// Tell the people on call, of one server or in general.
    Note { about: Option<Server>, text: String },
}
