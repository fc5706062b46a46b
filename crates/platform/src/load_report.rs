//! The load report that an endpoint answers a health check with: `inflight=7,queue=2,util=0.61`.

/// Names of the fraction of cores in use: as the settings list it, and as the protocol's page has it.
const LOAD_NAMES: [&str; 2] = ["busy", "util"];

/// The fraction of its cores in use that an endpoint reports, if it reports one of 0 or more.
#[must_use]
pub fn parse_load_report(report: &str) -> Option<f64> {
    let mut pairs = report.split(',').filter_map(|pair| pair.trim().split_once('='));
    let (_, load) = pairs.find(|(name, _)| LOAD_NAMES.contains(name))?;
    load.trim().parse().ok().filter(|load: &f64| load.is_finite() && *load >= 0.0)
}
