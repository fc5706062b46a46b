//! Choosing an endpoint, against a plain scan and an alias table, at 10, 600 and 10,000 entries, with the change
//! of one weight after every hundred choices. Run: cargo bench -p lockcroft-proxy --bench choose

use std::hint::black_box;
use std::time::Instant;

use lockcroft_proxy::{Backend, Chooser, LoadBalancingPolicy, TableEntry};
use nanorand::{Rng, WyRand};

/// Smooth weighted round robin as a scan over all entries.
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

fn scan_draw(weights: &[u32], rng: &mut WyRand) -> usize {
    let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
    let mut left = rng.generate_range(0..total);
    for (index, weight) in weights.iter().enumerate() {
        if left < u64::from(*weight) {
            return index;
        }
        left -= u64::from(*weight);
    }
    0
}

/// Vose's alias table: a draw in one step, rebuilt at each change.
struct AliasTable {
    keep: Vec<f64>,
    other: Vec<usize>,
}

impl AliasTable {
    fn new(weights: &[u32]) -> Self {
        let (count, total) = (weights.len(), weights.iter().map(|w| f64::from(*w)).sum::<f64>());
        let mut part: Vec<f64> = weights.iter().map(|w| f64::from(*w) * count as f64 / total).collect();
        let (mut less, mut more): (Vec<usize>, Vec<usize>) = (0..count).partition(|index| part[*index] < 1.0);
        let mut alias = AliasTable { keep: vec![1.0; count], other: (0..count).collect() };
        while let (Some(low), Some(high)) = (less.pop(), more.pop()) {
            (alias.keep[low], alias.other[low]) = (part[low], high);
            part[high] -= 1.0 - part[low];
            if part[high] < 1.0 { less.push(high) } else { more.push(high) }
        }
        alias
    }

    fn draw(&self, rng: &mut WyRand) -> usize {
        let index = rng.generate_range(0..self.keep.len());
        let point = f64::from(rng.generate::<u32>()) / f64::from(u32::MAX);
        if point < self.keep[index] { index } else { self.other[index] }
    }
}

/// Resident memory that 40 tables take.
fn memory(name: &str, entries: usize) {
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

/// Nanoseconds a choice, and a change, medians of five.
fn time(name: &str, entries: usize, mut choose: impl FnMut(), mut change: impl FnMut(usize)) {
    const CHOICES: usize = 100;
    let rounds = (2_000_000 / (entries * 5 + 500)).max(20);
    let mut times: Vec<(f64, f64)> = (0..5)
        .map(|_| {
            let (mut chosen, mut changed) = (0.0, 0.0);
            for round in 0..rounds {
                let started_at = Instant::now();
                (0..CHOICES).for_each(|_| choose());
                chosen += started_at.elapsed().as_nanos() as f64;
                let started_at = Instant::now();
                change(round);
                changed += started_at.elapsed().as_nanos() as f64;
            }
            (chosen / (rounds * CHOICES) as f64, changed / rounds as f64)
        })
        .collect();
    times.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (chosen, changed) = times[2];
    let all = chosen + changed / CHOICES as f64;
    println!(
        "{entries:6} entries  {name:24} {chosen:9.0} ns a choice {changed:9.0} ns a change {all:9.0} ns together"
    );
}

fn main() {
    memory("10,000 entries over 40 tables", 250);
    memory("40 tables of 10,000 entries", 10_000);
    for entries in [10, 600, 10_000] {
        let weights: Vec<u32> = (0..entries).map(|index| 1 + (index * 37 % 256) as u32).collect();
        let other = |round: usize| (round * 7919 % entries, 1 + (round * 31 % 256) as u32);
        let mut scan = ScanRoundRobin {
            weights: weights.iter().map(|w| i64::from(*w)).collect(),
            credit: vec![0; entries],
        };
        let cell = std::cell::RefCell::new(&mut scan);
        time(
            "round robin, plain scan",
            entries,
            || {
                black_box(cell.borrow_mut().next());
            },
            |round| {
                let (index, weight) = other(round);
                cell.borrow_mut().weights[index] = i64::from(weight);
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
            time(name, entries, &mut choose, |round| {
                let (index, weight) = other(round);
                chooser.borrow_mut().set_weight(index, weight);
            });
        }
        let plain = std::cell::RefCell::new(weights.clone());
        let mut rng = WyRand::new_seed(1);
        time(
            "random, plain scan",
            entries,
            || {
                black_box(scan_draw(&plain.borrow(), &mut rng));
            },
            |round| {
                let (index, weight) = other(round);
                plain.borrow_mut()[index] = weight;
            },
        );
        let alias = std::cell::RefCell::new((AliasTable::new(&weights), weights.clone()));
        let mut rng = WyRand::new_seed(1);
        time(
            "random, alias",
            entries,
            || {
                black_box(alias.borrow().0.draw(&mut rng));
            },
            |round| {
                let (index, weight) = other(round);
                let mut alias = alias.borrow_mut();
                alias.1[index] = weight;
                alias.0 = AliasTable::new(&alias.1);
            },
        );
    }
}
