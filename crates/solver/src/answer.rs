//! What a solver says.

/// A weight is one of so many steps of the greatest.
pub const WEIGHT_STEPS: u32 = 256;

/// Weights and what follows from them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Listed weight by server, in steps of the greatest.
    pub weights: Vec<u32>,
    /// By class, then zone of the proxies: servers in their order, with the work that each is planned to do
    /// of it, in seconds of one core in a second; those that do none are left out.
    pub placed: Vec<Vec<Vec<(usize, f64)>>>,
    /// Planned work of each server: seconds of one core in a second.
    pub loads: Vec<f64>,
    /// The share of each class's visits that is let in, from 0 to 1.
    pub let_in: Vec<f64>,
    pub dropped: Vec<ShedReason>,
    pub objective: Objective,
}

impl Answer {
    /// Weights of a table for one class and zone of proxies alone.
    pub fn table(&self, class: usize, zone: usize) -> Vec<(usize, u32)> {
        let placed = &self.placed[class][zone];
        let weights = weigh(&placed.iter().map(|(_, work)| *work).collect::<Vec<_>>());
        let lines = placed.iter().zip(weights).map(|((server, _), weight)| (*server, weight));
        lines.filter(|(_, weight)| *weight > 0).collect()
    }
}

/// Visits of a class that find no room.
#[derive(Clone, Debug, PartialEq)]
pub struct ShedReason {
    pub class: usize,
    /// Visits a second.
    pub visits: f64,
    /// Cores that would take them in, where the class may go, used as those that are there.
    pub restored_by: f64,
    /// Cores that there are where the class may go.
    pub room: f64,
    /// Classes that have room there before it.
    pub before: Vec<usize>,
}

/// What is sought most, by its parts, in earnings a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Objective {
    pub earned: f64,
    pub crossing: f64,
    pub lateness: f64,
}

impl Objective {
    pub fn total(&self) -> f64 {
        self.earned - self.crossing - self.lateness
    }
}

/// Parts on the grid of weights, rounded: one so small beside the greatest that it has no step is left out.
pub fn weigh(parts: &[f64]) -> Vec<u32> {
    let most = parts.iter().copied().fold(0.0, f64::max);
    let weight = |part: &f64| {
        if most <= 0.0 { 0 } else { (part / most * f64::from(WEIGHT_STEPS)).round() as u32 }
    };
    parts.iter().map(weight).collect()
}
