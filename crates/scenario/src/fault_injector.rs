//! Carries out the steps of a script on the stage, the controller's process and the load.

use std::time::{Duration, SystemTime};

use lockcroft_testbed::{FaultMode, LoadGenerator};

use crate::controller_process::ControllerProcess;
use crate::error::ScenarioError;
use crate::fault_steps::{Phase, Step};
use crate::faults::{FaultInjection, FaultKind};
use crate::recording_link::StallPoint;
use crate::stage::{ProxyInstance, Stage};

/// How long a control stream is stalled if the fault does not say so.
const DEFAULT_STALL: Duration = Duration::from_secs(3);

/// What faults act on.
pub struct FaultInjector<'a> {
    pub stage: &'a mut Stage,
    pub controller: &'a mut ControllerProcess,
    pub load: &'a LoadGenerator,
}

impl FaultInjector<'_> {
    /// Whether a fault's targets are there.
    ///
    /// # Errors
    /// A name is of no endpoint or proxy.
    pub fn check(stage: &Stage, fault: &FaultInjection) -> Result<(), ScenarioError> {
        stage.select_endpoints(&fault.endpoints, fault.zone.as_deref())?;
        match &fault.proxy {
            Some(name) if stage.proxy(name).is_none() => Err(ScenarioError::UnknownProxy(name.clone())),
            _ => Ok(()),
        }
    }

    /// Begins, reports or ends a fault.
    ///
    /// # Errors
    /// A process can't be started, or the list can't be written.
    pub async fn apply(&mut self, step: &Step<'_>) -> Result<(), ScenarioError> {
        let fault = step.fault;
        let begins = step.phase == Phase::Begins;
        match fault.kind {
            FaultKind::Hang => self.set_fault_mode(step, FaultMode::Hang)?,
            FaultKind::Errors => self.set_fault_mode(step, FaultMode::Errors)?,
            FaultKind::Slow => self.set_fault_mode(step, FaultMode::Slow(fault.factor))?,
            FaultKind::Reject => self.set_fault_mode(step, FaultMode::Reject)?,
            FaultKind::LoseEndpoint => self.lose_endpoints(step)?,
            FaultKind::Drain => self.list_as(fault, if begins { "draining" } else { "ready" })?,
            FaultKind::FalselyRemove => self.list_as(fault, if begins { "gone" } else { "ready" })?,
            FaultKind::StallProxy if begins => {
                let duration = fault.duration.unwrap_or(DEFAULT_STALL);
                self.stall(fault, StallPoint::Stall { after_commands: fault.after_commands, duration });
            }
            FaultKind::BreakProxyStream if begins => {
                self.stall(fault, StallPoint::Disconnect { after_commands: fault.after_commands });
            }
            FaultKind::RestartProxy if begins => {
                if let Some(proxy) = self.proxy(fault) {
                    self.stage.restart_proxy(proxy).await?;
                }
            }
            FaultKind::StallProxy
            | FaultKind::BreakProxyStream
            | FaultKind::RestartProxy
            | FaultKind::RunCommand => {}
            FaultKind::KillController if begins => self.controller.kill(),
            FaultKind::KillController => self.controller.restart()?,
            FaultKind::Overload => self.load.set_rate_factor(if begins { fault.factor } else { 1.0 }),
        }
        Ok(())
    }

    fn endpoints(&self, fault: &FaultInjection) -> Result<Vec<String>, ScenarioError> {
        self.stage.select_endpoints(&fault.endpoints, fault.zone.as_deref())
    }

    fn proxy(&self, fault: &FaultInjection) -> Option<&ProxyInstance> {
        self.stage.proxy(fault.proxy.as_deref()?)
    }

    fn stall(&self, fault: &FaultInjection, stall: StallPoint) {
        if let Some(proxy) = self.proxy(fault) {
            proxy.link.stall_next(stall);
        }
    }

    fn set_fault_mode(&self, step: &Step<'_>, mode: FaultMode) -> Result<(), ScenarioError> {
        let mode = if step.phase == Phase::Begins { mode } else { FaultMode::Healthy };
        for name in self.endpoints(step.fault)? {
            self.stage.endpoints[&name].set_fault_mode(mode);
        }
        Ok(())
    }

    fn list_as(&mut self, fault: &FaultInjection, state: &'static str) -> Result<(), ScenarioError> {
        let endpoints = self.endpoints(fault)?;
        self.stage.list.set_state(&endpoints, state);
        Ok(self.stage.list.write()?)
    }

    /// Processes end, the list reports it a while later, and at the end of the fault they start again and warm up.
    fn lose_endpoints(&mut self, step: &Step<'_>) -> Result<(), ScenarioError> {
        match step.phase {
            Phase::Begins => self.set_fault_mode(step, FaultMode::Down),
            Phase::Noticed => self.list_as(step.fault, "gone"),
            Phase::Ends => {
                for name in self.endpoints(step.fault)? {
                    self.stage.endpoints[&name].restart();
                    let now = self.stage.recorder.now();
                    self.stage.list.set_started(&name, now, SystemTime::now());
                }
                self.list_as(step.fault, "ready")
            }
        }
    }
}
