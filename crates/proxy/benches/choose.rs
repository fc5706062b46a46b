//! Compares the load balancing policies with linear scans and an alias table, for 10, 600 and 10,000 entries, with
//! one weight change per hundred choices. Also prints the memory used by tables.
//! Run: cargo bench -p lockcroft-proxy --bench choose

use std::hint::black_box;
use std::time::Instant;

use lockcroft_proxy::{Backend, Chooser, LoadBalancingPolicy, TableEntry};
use nanorand::{Rng, WyRand};

/// Smooth weighted round robin by a scan over all entries.
struct ScanRoundRobin {
    weights: Vec<i64>,
    credit: Vec<i64>,
}

impl ScanRoundRobin {
    fn next(&mut self) -> usize {
        let total: i64 = self.weights.iter().sum();
        let mut best = 0;
        for index in 0..self.weights.len() {
            self.credit[index] += self.weights[index];
            if self.credit[index] > self.credit[best] {
                best = index;
            }
        }
        self.credit[best] -= total;
        best
    }
}

/// Draws an entry at random by weight, with a scan over all entries.
fn scan_draw(weights: &[u32], rng: &mut WyRand) -> usize {
    let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
    let mut remaining = rng.generate_range(0..total);
    for (index, weight) in weights.iter().enumerate() {
        if remaining < u64::from(*weight) {
            return index;
        }
        remaining -= u64::from(*weight);
    }
    0
}

/// An alias table (Vose 1991), which draws in constant time and is rebuilt after each weight change.
struct AliasTable {
    /// The probability of each index to be returned once it was drawn.
    keep: Vec<f64>,
    /// The index returned otherwise.
    alias: Vec<usize>,
}

impl AliasTable {
    fn new(weights: &[u32]) -> Self {
        let (count, total) = (weights.len(), weights.iter().map(|w| f64::from(*w)).sum::<f64>());
        let mut scaled: Vec<f64> = weights.iter().map(|w| f64::from(*w) * count as f64 / total).collect();
        let (mut small, mut large): (Vec<usize>, Vec<usize>) =
            (0..count).partition(|index| scaled[*index] < 1.0);
        let mut table = AliasTable { keep: vec![1.0; count], alias: (0..count).collect() };
        while let (Some(low), Some(high)) = (small.pop(), large.pop()) {
            (table.keep[low], table.alias[low]) = (scaled[low], high);
            scaled[high] -= 1.0 - scaled[low];
            if scaled[high] < 1.0 { small.push(high) } else { large.push(high) }
        }
        table
    }

    fn draw(&self, rng: &mut WyRand) -> usize {
        let index = rng.generate_range(0..self.keep.len());
        let point = f64::from(rng.generate::<u32>()) / f64::from(u32::MAX);
        if point < self.keep[index] { index } else { self.alias[index] }
    }
}

/// Prints the resident memory used by 40 tables.
fn report_memory(name: &str, entries: usize) {
    let resident = || {
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let line =
            status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0 kB").trim().to_string();
        line.trim_end_matches(" kB").parse::<f64>().unwrap_or(0.0) / 1024.0
    };
    let address = "127.0.0.1:80".parse().expect("an address");
    let before = resident();
    let tables: Vec<Backend> = (0..40)
        .map(|_| {
            let entry = |i: usize| TableEntry::new(&format!("server-{i}"), address, 256, false);
            Backend::new(LoadBalancingPolicy::SmoothWeightedRoundRobin, (0..entries).map(entry).collect())
        })
        .collect();
    println!("{name}: {:.1} MB", resident() - before);
    drop(black_box(tables));
}

/// Prints the time per choice and per weight change in nanoseconds, the medians of five runs.
fn report_times(name: &str, entries: usize, mut choose: impl FnMut(), mut change: impl FnMut(usize)) {
    const CHOICES: usize = 100;
    let rounds = (2_000_000 / (entries * 5 + 500)).max(20);
    let mut runs: Vec<(f64, f64)> = (0..5)
        .map(|_| {
            let (mut choose_ns, mut change_ns) = (0.0, 0.0);
            for round in 0..rounds {
                let started_at = Instant::now();
                (0..CHOICES).for_each(|_| choose());
                choose_ns += started_at.elapsed().as_nanos() as f64;
                let started_at = Instant::now();
                change(round);
                change_ns += started_at.elapsed().as_nanos() as f64;
            }
            (choose_ns / (rounds * CHOICES) as f64, change_ns / rounds as f64)
        })
        .collect();
    runs.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (choose_ns, change_ns) = runs[2];
    let combined_ns = choose_ns + change_ns / CHOICES as f64;
    println!(
        "{entries:6} entries  {name:24} {choose_ns:9.0} ns per choice {change_ns:9.0} ns per change {combined_ns:9.0} ns combined"
    );
}

fn main() {
    report_memory("10,000 entries over 40 tables", 250);
    report_memory("40 tables of 10,000 entries", 10_000);
    for entries in [10, 600, 10_000] {
        let weights: Vec<u32> = (0..entries).map(|index| 1 + (index * 37 % 256) as u32).collect();
        let weight_change = |round: usize| (round * 7919 % entries, 1 + (round * 31 % 256) as u32);
        let mut scan = ScanRoundRobin {
            weights: weights.iter().map(|w| i64::from(*w)).collect(),
            credit: vec![0; entries],
        };
        let scan = std::cell::RefCell::new(&mut scan);
        report_times(
            "round robin, scan",
            entries,
            || {
                black_box(scan.borrow_mut().next());
            },
            |round| {
                let (index, weight) = weight_change(round);
                scan.borrow_mut().weights[index] = i64::from(weight);
            },
        );
        for (name, policy) in [
            ("round robin, heap", LoadBalancingPolicy::SmoothWeightedRoundRobin),
            ("random, tree", LoadBalancingPolicy::WeightedRandom),
            ("two choices, tree", LoadBalancingPolicy::PowerOfTwoChoices),
        ] {
            let chooser = std::cell::RefCell::new(Chooser::new(policy, &weights));
            let mut rng = WyRand::new_seed(1);
            let mut choose = || {
                black_box(chooser.borrow_mut().next(&mut rng, |_| true, |index| index % 7));
            };
            report_times(name, entries, &mut choose, |round| {
                let (index, weight) = weight_change(round);
                chooser.borrow_mut().set_weight(index, weight);
            });
        }
        let scan_weights = std::cell::RefCell::new(weights.clone());
        let mut rng = WyRand::new_seed(1);
        report_times(
            "random, scan",
            entries,
            || {
                black_box(scan_draw(&scan_weights.borrow(), &mut rng));
            },
            |round| {
                let (index, weight) = weight_change(round);
                scan_weights.borrow_mut()[index] = weight;
            },
        );
        let alias_table = std::cell::RefCell::new((AliasTable::new(&weights), weights.clone()));
        let mut rng = WyRand::new_seed(1);
        report_times(
            "random, alias table",
            entries,
            || {
                black_box(alias_table.borrow().0.draw(&mut rng));
            },
            |round| {
                let (index, weight) = weight_change(round);
                let mut alias_table = alias_table.borrow_mut();
                alias_table.1[index] = weight;
                alias_table.0 = AliasTable::new(&alias_table.1);
            },
        );
    }
}
