//! Fault injections of a scenario.

use std::fmt;
use std::time::Duration;

/// What is done to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Endpoints take requests and answer none.
    Hang,
    /// Endpoints answer with errors.
    Errors,
    /// Endpoints are slower.
    Slow,
    /// Endpoints reject requests.
    Reject,
    /// Endpoints' processes end, and later start again and warm up; the list reports both after `notice_delay`.
    LoseEndpoint,
    /// The list says that endpoints drain.
    Drain,
    /// The list says that endpoints are gone, and they are not.
    FalselyRemove,
    /// A proxy's control stream stalls within a message.
    StallProxy,
    /// A proxy's control stream breaks before a message is answered.
    BreakProxyStream,
    /// A proxy's process ends, and a new one starts in its place.
    RestartProxy,
    /// The controller's process is killed.
    KillController,
    /// Requests come at a multiple of their rate.
    Overload,
    /// An operator gives the controller a command.
    RunCommand,
}

/// The word that is printed while a scenario is played.
impl fmt::Display for FaultKind {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            FaultKind::Hang => "Hang",
            FaultKind::Errors => "Errors",
            FaultKind::Slow => "Slow",
            FaultKind::Reject => "Refuse",
            FaultKind::LoseEndpoint => "Lose",
            FaultKind::Drain => "Drain",
            FaultKind::FalselyRemove => "Lie",
            FaultKind::StallProxy => "StallRelay",
            FaultKind::BreakProxyStream => "BreakRelay",
            FaultKind::RestartProxy => "RestartRelay",
            FaultKind::KillController => "KillPilot",
            FaultKind::Overload => "Load",
            FaultKind::RunCommand => "Ask",
        })
    }
}

/// A fault with its time and its targets. What its kind does not use is left at its default.
#[derive(Clone, Debug)]
pub struct FaultInjection {
    /// When it begins, since the start of the scenario.
    pub at: Duration,
    /// How long it lasts; without it, to the end.
    pub duration: Option<Duration>,
    /// What is done.
    pub kind: FaultKind,
    /// Endpoints by name, beside those of the zone.
    pub endpoints: Vec<String>,
    /// All endpoints of this zone.
    pub zone: Option<String>,
    /// The proxy that is meant.
    pub proxy: Option<String>,
    /// How many times slower endpoints are, or how many times more requests come.
    pub factor: f64,
    /// A message with more commands than this stalls or breaks.
    pub after_commands: usize,
    /// How long after an endpoint is lost the list says so.
    pub notice_delay: Duration,
    /// The operator's command.
    pub command: String,
}
