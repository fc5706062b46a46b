//! Conversion of a class from the settings to a class of a solver problem.

use lockcroft::{ClassSettings, MachineTypeId};
use lockcroft_solver::Class as ProblemClass;

/// The work of a request defaults to its latency objective divided by this.
const DEFAULT_WORK_DIVISOR: f64 = 10.0;
/// The lower limit of the work and of the latency objective of a class, in seconds.
const MIN_SECONDS: f64 = 1e-6;

/// A class from the settings, without demand, and the machine types that it may use.
pub struct PlannedClass {
    pub class: ProblemClass,
    /// `None` if the class may use endpoints of all machine types.
    machine_types: Option<Vec<MachineTypeId>>,
}

impl PlannedClass {
    pub fn new(settings: &ClassSettings) -> Self {
        let latency_objective = settings.latency_objective.as_secs_f64();
        let default_work = latency_objective / DEFAULT_WORK_DIVISOR;
        let class = ProblemClass {
            work: settings.work.map_or(default_work, |work| work.as_secs_f64()).max(MIN_SECONDS),
            latency_objective: latency_objective.max(MIN_SECONDS),
            value: settings.value,
            allowed_zones: settings.only_zones.clone().unwrap_or_default(),
            allowed_endpoints: None,
            demand: Vec::new(),
        };
        PlannedClass { class, machine_types: settings.only_machine_types.clone() }
    }

    /// Returns the class with its demand by zone, for a problem whose endpoints have these machine types.
    pub fn with_demand(&self, demand: &[f64], machine_types: &[MachineTypeId]) -> ProblemClass {
        let allowed = self.machine_types.as_ref().map(|only| {
            (0..machine_types.len()).filter(|position| only.contains(&machine_types[*position])).collect()
        });
        ProblemClass { allowed_endpoints: allowed, demand: demand.to_vec(), ..self.class.clone() }
    }
}
