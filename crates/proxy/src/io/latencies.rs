//! Latencies of successful attempts by endpoint and class, for the command `show times`.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HistogramKey {
    endpoint: String,
    class: String,
}

/// A histogram of latencies in microseconds for each endpoint and class.
#[derive(Default)]
pub struct Latencies {
    histograms: BTreeMap<HistogramKey, Histogram<u64>>,
}

impl Latencies {
    /// Records the latency of a successful attempt. Latencies above 10 minutes count as 10 minutes.
    ///
    /// # Panics
    /// Never panics, as the bounds of the histograms are valid constants.
    pub fn record(&mut self, endpoint: &str, class: &str, latency: Duration) {
        let key = HistogramKey { endpoint: endpoint.to_string(), class: class.to_string() };
        let new_histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
        };
        self.histograms
            .entry(key)
            .or_insert_with(new_histogram)
            .saturating_record(latency.as_micros() as u64);
    }

    /// Returns the answer to `show times`, with latencies in milliseconds, without the empty line that ends
    /// an answer.
    pub fn answer_text(&self) -> String {
        let mut text = "# endpoint class answered p50_ms p99_ms most_ms\n".to_string();
        for (HistogramKey { endpoint, class }, histogram) in &self.histograms {
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
