//! The fault injections of a scenario.

use std::fmt;
use std::time::Duration;

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Endpoints accept requests and never answer.
    Hang,
    /// Endpoints answer with status 500.
    Errors,
    /// Endpoints execute requests slower, by `factor`.
    Slow,
    /// Endpoints reject requests before they are executed.
    Reject,
    /// Processes of endpoints end, which the endpoint list reports after `notice_delay`. At the end of the fault they
    /// restart and warm up, which the list reports immediately.
    LoseEndpoint,
    /// The endpoint list reports endpoints as draining.
    Drain,
    /// The endpoint list reports running endpoints as removed.
    FalselyRemove,
    /// A proxy's control stream stalls in the middle of a message.
    StallProxy,
    /// A proxy's control stream is closed after a message is sent and before its answer reaches the controller.
    BreakProxyStream,
    /// A proxy is restarted.
    RestartProxy,
    /// The controller's process is killed, and restarted at the end of the fault.
    KillController,
    /// The request rates are multiplied by `factor`.
    Overload,
    /// A command is sent to the controller's runtime API.
    RunCommand,
}

/// Writes the word that is printed when a step of the fault is applied.
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

/// A fault with its time and targets. Fields that the kind doesn't use have their defaults.
#[derive(Clone, Debug)]
pub struct FaultInjection {
    /// The time at which it begins, since the start of the scenario.
    pub at: Duration,
    /// The time for which it lasts; `None` for the rest of the scenario, or for 3 s if a stream is stalled.
    pub duration: Option<Duration>,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The names of the affected endpoints, in addition to those of the zone.
    pub endpoints: Vec<String>,
    /// The zone of which all endpoints are affected.
    pub zone: Option<String>,
    /// The name of the affected proxy.
    pub proxy: Option<String>,
    /// The factor by which endpoints are slower or request rates higher.
    pub factor: f64,
    /// The stream stalls or is closed at the next message with more state-changing commands than this.
    pub after_commands: usize,
    /// The time from the loss of endpoints to the list update that reports it.
    pub notice_delay: Duration,
    /// The command for the controller's runtime API.
    pub command: String,
}
