//! Parses the load report in an endpoint's answer to a health check, such as `inflight=7,queue=2,util=0.61`.

/// The names of the fraction of cores in use: the one in the settings and the one in the protocol's documentation.
const LOAD_NAMES: [&str; 2] = ["busy", "util"];

/// Returns the fraction of its cores in use that an endpoint reports; `None` if it is absent, negative or not finite.
#[must_use]
pub fn parse_load_report(report: &str) -> Option<f64> {
    let mut pairs = report.split(',').filter_map(|pair| pair.trim().split_once('='));
    let (_, load) = pairs.find(|(name, _)| LOAD_NAMES.contains(name))?;
    load.trim().parse().ok().filter(|load: &f64| load.is_finite() && *load >= 0.0)
}
