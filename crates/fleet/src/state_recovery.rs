//! Recovery of persisted state at the start, and recording of state to be persisted.

use std::time::Duration;

use lockcroft::{ControllerState, EndpointRecord, EndpointStatus, RecoveredSlowStart, TableId};
use lockcroft_state_store::{RecoveredEndpoint, RecoveredState};
use tracing::info;

use crate::effect::Effect;
use crate::fleet_controller::FleetController;
use crate::state_recorder::StateRecorder;
use crate::state_store_status::StateStoreStatus;

impl FleetController {
    /// Sets the state recovered from before the start, which is applied with the first endpoint list, and starts to
    /// record state: from now on, effects of [`FleetController::run_actions`] include [`Effect::SaveState`].
    pub fn restore_state(&mut self, recovered: RecoveredState) {
        self.recorder = Some(StateRecorder::new(self.epoch));
        self.recovered_state = Some(recovered);
    }

    /// Sets the status of the store of learned state, for `show memory`.
    pub fn set_state_store_status(&mut self, status: StateStoreStatus) {
        self.state_store_status = status;
    }

    /// Applies recovered state after the first endpoint list. Endpoints that were removed while the controller was
    /// down are included, so that the decisions eject them at proxies that still have entries of them.
    pub(crate) fn apply_recovered_state(&mut self, now: Duration, recovered: RecoveredState) {
        let (endpoints, admissions) = (recovered.endpoints.len(), recovered.admission_rates.len());
        for endpoint in recovered.endpoints {
            self.recover_endpoint(now, &endpoint);
        }
        for (class, table, rate) in recovered.admission_rates {
            if let Ok(class) = self.names.class(&class) {
                self.controller.recover_admission(class, table as TableId, rate);
            }
        }
        if let Some(planner) = &mut self.planner {
            let capacities = recovered.capacities.into_iter();
            planner.recover_capacities(capacities.map(|(name, cores)| (self.endpoints.intern(&name), cores)));
        }
        if endpoints + admissions > 0 {
            info!(target: "lockcroft::input", wave = self.batch, endpoints, admissions, "recovered state");
            self.add_event(&format!("recovered state: {endpoints} endpoints, {admissions} admission rates"));
        }
    }

    /// Passes a recovered endpoint to the decisions, unless its zone or machine type is no longer configured.
    fn recover_endpoint(&mut self, now: Duration, recovered: &RecoveredEndpoint) {
        let Ok(zone) = self.names.zone(&recovered.zone) else { return };
        let Ok(machine_type) = self.names.machine_type(&recovered.machine_type) else { return };
        let record = EndpointRecord {
            endpoint: self.endpoints.intern(&recovered.name),
            zone,
            machine_type,
            status: if recovered.not_ready { EndpointStatus::Removed } else { EndpointStatus::Ready },
            weight: 0.0,
            age: None,
        };
        let slow_start = recovered.slow_start.map(|(age, remaining)| RecoveredSlowStart { age, remaining });
        let recovered = lockcroft::RecoveredEndpoint {
            record,
            weight_factor: recovered.weight_factor,
            slow_start,
            outlier_remaining: recovered.outlier_remaining,
        };
        self.controller.recover_endpoint(now, recovered);
    }

    /// Returns the effects that save all state not recorded yet, for the shutdown of the controller. Other pending
    /// effects are dropped.
    pub fn record_all_state(&mut self, now: Duration) -> Vec<Effect> {
        // The rest of the current pass, then a complete one.
        for _ in 0..2 {
            while let Some(recorder) = &mut self.recorder {
                recorder.make_due();
                self.record_state(now);
                if self.recorder.as_ref().is_none_or(StateRecorder::is_at_pass_start) {
                    break;
                }
            }
        }
        self.effects.drain(..).filter(|effect| matches!(effect, Effect::SaveState(_))).collect()
    }

    /// Adds an effect that saves the state of the next slice, if one is due, and newly learned capacities.
    pub(crate) fn record_state(&mut self, now: Duration) {
        let Some(recorder) = &mut self.recorder else { return };
        let ControllerState { endpoints, admissions, .. } = self.controller.state();
        let mut entries = recorder.record_slice(now, endpoints, admissions, &self.endpoints, &self.names);
        if let Some(planner) = &mut self.planner {
            let capacities = planner.take_changed_capacities(now, endpoints);
            entries.extend(recorder.record_capacities(now, capacities, &self.endpoints));
        }
        if !entries.is_empty() {
            self.effects.push_back(Effect::SaveState(entries));
        }
    }
}
