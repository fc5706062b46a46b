//! Applies the steps of fault injections to the environment of a scenario, the controller's process and the load.

use std::time::{Duration, SystemTime};

use lockcroft_testbed::{FaultMode, LoadGenerator};

use crate::controller_process::ControllerProcess;
use crate::environment::{Environment, ProxyInstance};
use crate::error::ScenarioError;
use crate::fault_steps::{Phase, Step};
use crate::faults::{FaultInjection, FaultKind};
use crate::recording_link::StreamFault;

/// The duration of a stall if the fault doesn't state it.
const DEFAULT_STALL_DURATION: Duration = Duration::from_secs(3);

/// Applies faults to the parts of a running scenario.
pub struct FaultInjector<'a> {
    pub environment: &'a mut Environment,
    pub controller: &'a mut ControllerProcess,
    pub load: &'a LoadGenerator,
}

impl FaultInjector<'_> {
    /// Checks that the targets of a fault exist.
    ///
    /// # Errors
    /// There is no endpoint or no proxy of a name.
    pub fn check(environment: &Environment, fault: &FaultInjection) -> Result<(), ScenarioError> {
        environment.select_endpoints(&fault.endpoints, fault.zone.as_deref())?;
        match &fault.proxy {
            Some(name) if environment.proxy(name).is_none() => Err(ScenarioError::UnknownProxy(name.clone())),
            _ => Ok(()),
        }
    }

    /// Applies a step of a fault.
    ///
    /// # Errors
    /// A process can't be started, or the endpoint list can't be written.
    pub async fn apply(&mut self, step: &Step<'_>) -> Result<(), ScenarioError> {
        let fault = step.fault;
        let begins = step.phase == Phase::Begins;
        match fault.kind {
            FaultKind::Hang => self.set_fault_mode(step, FaultMode::Hang)?,
            FaultKind::Errors => self.set_fault_mode(step, FaultMode::Errors)?,
            FaultKind::Slow => self.set_fault_mode(step, FaultMode::Slow(fault.factor))?,
            FaultKind::Reject => self.set_fault_mode(step, FaultMode::Reject)?,
            FaultKind::LoseEndpoint => self.lose_endpoints(step)?,
            FaultKind::Drain => self.publish_state(fault, if begins { "draining" } else { "ready" })?,
            FaultKind::FalselyRemove => self.publish_state(fault, if begins { "gone" } else { "ready" })?,
            FaultKind::StallProxy if begins => {
                let duration = fault.duration.unwrap_or(DEFAULT_STALL_DURATION);
                self.set_stream_fault(
                    fault,
                    StreamFault::Stall { after_commands: fault.after_commands, duration },
                );
            }
            FaultKind::BreakProxyStream if begins => {
                self.set_stream_fault(
                    fault,
                    StreamFault::Disconnect { after_commands: fault.after_commands },
                );
            }
            FaultKind::RestartProxy if begins => {
                if let Some(proxy) = self.proxy(fault) {
                    self.environment.restart_proxy(proxy).await?;
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
        self.environment.select_endpoints(&fault.endpoints, fault.zone.as_deref())
    }

    fn proxy(&self, fault: &FaultInjection) -> Option<&ProxyInstance> {
        self.environment.proxy(fault.proxy.as_deref()?)
    }

    fn set_stream_fault(&self, fault: &FaultInjection, stream_fault: StreamFault) {
        if let Some(proxy) = self.proxy(fault) {
            proxy.link.set_next_fault(stream_fault);
        }
    }

    fn set_fault_mode(&self, step: &Step<'_>, mode: FaultMode) -> Result<(), ScenarioError> {
        let mode = if step.phase == Phase::Begins { mode } else { FaultMode::Healthy };
        for name in self.endpoints(step.fault)? {
            self.environment.endpoints[&name].set_fault_mode(mode);
        }
        Ok(())
    }

    fn publish_state(&mut self, fault: &FaultInjection, state: &'static str) -> Result<(), ScenarioError> {
        let endpoints = self.endpoints(fault)?;
        self.environment.list.set_state(&endpoints, state);
        Ok(self.environment.list.write()?)
    }

    /// Ends processes of endpoints, reports it in the list later, and restarts them at the end of the fault.
    fn lose_endpoints(&mut self, step: &Step<'_>) -> Result<(), ScenarioError> {
        match step.phase {
            Phase::Begins => self.set_fault_mode(step, FaultMode::Down),
            Phase::Noticed => self.publish_state(step.fault, "gone"),
            Phase::Ends => {
                for name in self.endpoints(step.fault)? {
                    self.environment.endpoints[&name].restart();
                    let now = self.environment.recorder.now();
                    self.environment.list.set_started(&name, now, SystemTime::now());
                }
                self.publish_state(step.fault, "ready")
            }
        }
    }
}
