//! Latencies of successful attempts by endpoint and class, as `show times` tells them.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    endpoint: String,
    class: String,
}

/// A histogram of microseconds for each endpoint and class.
#[derive(Default)]
pub struct Latencies {
    histograms: BTreeMap<Key, Histogram<u64>>,
}

impl Latencies {
    /// # Panics
    /// Never: the bounds of the histograms are constants.
    pub fn record(&mut self, endpoint: &str, class: &str, latency: Duration) {
        let key = Key { endpoint: endpoint.to_string(), class: class.to_string() };
        let new = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are in order")
        };
        self.histograms.entry(key).or_insert_with(new).saturating_record(latency.as_micros() as u64);
    }

    /// The answer to `show times`, without the empty line that ends it.
    pub fn show(&self) -> String {
        let mut text = "# endpoint class answered p50_ms p99_ms most_ms\n".to_string();
        for (Key { endpoint, class }, histogram) in &self.histograms {
            // Writing to a String cannot fail.
            let _ = writeln!(
                text,
                "{endpoint} {class} {} {:.1} {:.1} {:.1}",
                histogram.len(),
                milliseconds(histogram.value_at_quantile(0.5)),
                milliseconds(histogram.value_at_quantile(0.99)),
                milliseconds(histogram.max())
            );
        }
        text
    }
}

fn milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1e3
}
