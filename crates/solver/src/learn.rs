//! What a problem needs, from what reports show: capacity by server, each with its bounds and its age.
//! Reports bound a capacity from below (work done on time) and from above (work done while late). What
//! is old loses force, so that a server jammed once does not look small for ever; what was never shown
//! is not believed, so that an idle one does not look large, nor one that tells no load while it is late.

use std::collections::BTreeMap;
use std::time::Duration;

/// One server over one report period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    /// Seconds of one core a second that its fulfilled visits took.
    pub done: f64,
    /// Its tries took longer than their contract time, or failed.
    pub late: bool,
    /// What a visit took, over the work that it is; 0 where none was fulfilled.
    pub slowdown: f64,
    /// The share of its cores in use, where it tells.
    pub load: Option<f64>,
}

/// A capacity with its bounds, in cores, and the age of the last report that bore on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityEstimate {
    pub capacity: f64,
    pub least: f64,
    pub most: f64,
    pub age: Option<Duration>,
}

/// What a server is taken for before any report, in cores, and how far from it reports may lead, as a factor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPrior {
    pub cores: f64,
    pub within: f64,
}

impl CapacityPrior {
    /// One figure for machines of any kind.
    pub fn guessed(cores: f64) -> Self {
        CapacityPrior { cores, within: GUESS_WITHIN }
    }

    /// What others of its kind turned out to have.
    pub fn alike(cores: f64) -> Self {
        CapacityPrior { cores, within: ALIKE_WITHIN }
    }

    /// What the terms state of its kind. Where a server does less than that, it is slow for now, which is
    /// not the list's matter: relief answers within a report period.
    pub fn stated(cores: f64) -> Self {
        CapacityPrior { cores, within: STATED_WITHIN }
    }

    fn least(self) -> f64 {
        self.cores / self.within
    }

    fn most(self) -> f64 {
        self.cores * self.within
    }
}

#[derive(Clone, Copy, Debug)]
struct Shown {
    least: f64,
    most: f64,
    /// From load and work, while not late.
    told: Option<f64>,
    at: Duration,
}

/// A load below this says too little of the whole.
const LOAD_LEAST: f64 = 1.0 / 8.0;
/// What is learnt of a server is believed within this factor of a guess, of what others of its kind
/// have, and of what is stated: two steps of a plan's sixteenths.
const GUESS_WITHIN: f64 = 4.0;
const ALIKE_WITHIN: f64 = 4.0 / 3.0;
const STATED_WITHIN: f64 = 9.0 / 8.0;
/// So many servers of a kind say what the kind has.
const ALIKE_LEAST: usize = 3;
/// Each look moves what was told before by this share.
const TOLD_MOVES: f64 = 1.0 / 8.0;

/// The load of a server that tells none, by how much longer visits take than their work. Of all loads,
/// each with the number of cores that would do what was done at it, the one is taken at which a queue
/// with so many cores would slow visits by just this much. A quick one is never taken for idler than an eighth.
fn load_by_times(look: LoadSample) -> Option<f64> {
    if look.slowdown <= 0.0 || look.done <= 0.0 {
        return None;
    }
    let (mut low, mut high) = (LOAD_LEAST, 1.0);
    for _ in 0..HALVINGS {
        let middle = f64::midpoint(low, high);
        if slowdown(look.done / middle, middle) < look.slowdown {
            low = middle;
        } else {
            high = middle;
        }
    }
    Some(low)
}

/// Finer than loads are known.
const HALVINGS: usize = 20;

/// Visits of one length wait half as long as ones of exponential lengths. How much lengths differ is
/// not known; the least wait is assumed, so that a server is rather taken for smaller than it is.
const REGULAR: f64 = 0.5;

/// How much longer visits take than their work at so many cores in use by this share: Sakasegawa's
/// estimate for queues with several places (1977). Less than one core is a slow one.
fn slowdown(cores: f64, load: f64) -> f64 {
    if cores < 1.0 {
        return (1.0 + REGULAR * load / (1.0 - load)) / cores;
    }
    1.0 + REGULAR * load.powf((2.0 * (cores + 1.0)).sqrt() - 1.0) / (cores * (1.0 - load))
}

#[derive(Clone, Debug)]
pub struct CapacityEstimator {
    /// Evidence loses half of its force in this time: some report periods.
    fades: Duration,
    shown: BTreeMap<usize, Shown>,
}

impl CapacityEstimator {
    pub fn new(fades: Duration) -> Self {
        CapacityEstimator { fades, shown: BTreeMap::new() }
    }

    /// Takes a look at a server; `prior` is what it is taken for before any report.
    pub fn look(&mut self, now: Duration, server: usize, prior: CapacityPrior, look: LoadSample) {
        let mut shown = self.aged(now, server, prior);
        if look.late {
            // It could do no more than this; what it showed to be able to lately still stands, and what
            // fails for other reasons, with less and less let in, does not make it small without end.
            shown.most = shown.most.min(look.done.max(shown.least).max(prior.least()));
        } else {
            shown.least = shown.least.max(look.done.min(prior.most()));
            shown.most = shown.most.max(shown.least);
            let told = look.load.filter(|load| (LOAD_LEAST..=1.0).contains(load));
            if let Some(load) = told.or_else(|| load_by_times(look)) {
                let told = (look.done / load).clamp(prior.least(), prior.most());
                // What is told again did not lose force in between.
                let was = self.shown.get(&server).and_then(|shown| shown.told).unwrap_or(told);
                shown.told = Some(was + (told - was) * TOLD_MOVES);
            }
        }
        self.shown.insert(server, Shown { at: now, ..shown });
    }

    /// What is believed of a server now.
    pub fn estimate(&self, now: Duration, server: usize, prior: CapacityPrior) -> CapacityEstimate {
        let shown = self.aged(now, server, prior);
        let capacity = shown.told.unwrap_or(prior.cores).clamp(shown.least, shown.most);
        let age = self.shown.get(&server).map(|shown| now.saturating_sub(shown.at));
        CapacityEstimate { capacity, least: shown.least, most: shown.most, age }
    }

    /// What servers of one kind have, by the middle one of those that showed it lately; none where they are too few.
    /// One that is jammed, or that shows little at its load, then leads nobody astray but by itself.
    pub fn alike(&self, now: Duration, servers: impl Iterator<Item = usize>) -> Option<f64> {
        let lately = |shown: &&Shown| now.saturating_sub(shown.at) < self.fades;
        let shown = servers.filter_map(|server| self.shown.get(&server).filter(lately));
        let mut told: Vec<f64> = shown.filter_map(|shown| shown.told).collect();
        told.sort_by(f64::total_cmp);
        (told.len() >= ALIKE_LEAST).then(|| told[told.len() / 2])
    }

    /// Servers that went are forgotten.
    pub fn keep(&mut self, listed: impl Fn(usize) -> bool) {
        self.shown.retain(|server, _| listed(*server));
    }

    fn aged(&self, now: Duration, server: usize, prior: CapacityPrior) -> Shown {
        let most = prior.most();
        let fresh = Shown { least: 0.0, most, told: None, at: now };
        let Some(shown) = self.shown.get(&server) else { return fresh };
        let fades = self.fades.as_secs_f64().max(f64::MIN_POSITIVE);
        let force = 0.5_f64.powf(now.saturating_sub(shown.at).as_secs_f64() / fades);
        let told = shown.told.map(|told| prior.cores + (told - prior.cores) * force);
        let least = (shown.least * force).min(most);
        // A bound that halves in force doubles, up to what nothing is known of.
        let bound = if force > 0.0 { (shown.most / force).min(most) } else { most };
        Shown { least, most: bound.max(least), told, at: shown.at }
    }
}
