//! Choosing, against a plain scan and an alias table, at 10, 600 and 10,000 lines, with the change of
//! one line after every hundred choices. Run: cargo bench -p lockcroft-proxy --bench choose

use std::hint::black_box;
use std::time::Instant;

use lockcroft_proxy::{Backend, Chooser, LoadBalancingPolicy, TableEntry};
use nanorand::{Rng, WyRand};

/// Smooth weighted round robin as a scan over all lines: the plain way to the wheel.
struct ScanWheel {
    weights: Vec<i64>,
    owed: Vec<i64>,
}

impl ScanWheel {
    fn next(&mut self) -> usize {
        let total: i64 = self.weights.iter().sum();
        let mut best = 0;
        for place in 0..self.weights.len() {
            self.owed[place] += self.weights[place];
            if self.owed[place] > self.owed[best] {
                best = place;
            }
        }
        self.owed[best] -= total;
        best
    }
}

fn scan_draw(weights: &[u32], chance: &mut WyRand) -> usize {
    let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
    let mut left = chance.generate_range(0..total);
    for (place, weight) in weights.iter().enumerate() {
        if left < u64::from(*weight) {
            return place;
        }
        left -= u64::from(*weight);
    }
    0
}

/// Vose's alias table: a draw in one step, laid anew as a whole at each change.
struct Alias {
    keep: Vec<f64>,
    other: Vec<usize>,
}

impl Alias {
    fn new(weights: &[u32]) -> Self {
        let (count, total) = (weights.len(), weights.iter().map(|w| f64::from(*w)).sum::<f64>());
        let mut part: Vec<f64> = weights.iter().map(|w| f64::from(*w) * count as f64 / total).collect();
        let (mut less, mut more): (Vec<usize>, Vec<usize>) = (0..count).partition(|place| part[*place] < 1.0);
        let mut alias = Alias { keep: vec![1.0; count], other: (0..count).collect() };
        while let (Some(low), Some(high)) = (less.pop(), more.pop()) {
            (alias.keep[low], alias.other[low]) = (part[low], high);
            part[high] -= 1.0 - part[low];
            if part[high] < 1.0 { less.push(high) } else { more.push(high) }
        }
        alias
    }

    fn draw(&self, chance: &mut WyRand) -> usize {
        let place = chance.generate_range(0..self.keep.len());
        let point = f64::from(chance.generate::<u32>()) / f64::from(u32::MAX);
        if point < self.keep[place] { place } else { self.other[place] }
    }
}

/// Resident memory that 40 tables take.
fn memory(name: &str, lines: usize) {
    let held = || {
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let line =
            status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0 kB").trim().to_string();
        line.trim_end_matches(" kB").parse::<f64>().unwrap_or(0.0) / 1024.0
    };
    let address = "127.0.0.1:80".parse().expect("an address");
    let before = held();
    let tables: Vec<Backend> = (0..40)
        .map(|_| {
            let line = |i: usize| TableEntry::new(&format!("server-{i}"), address, 256, false);
            Backend::new(LoadBalancingPolicy::SmoothWeightedRoundRobin, (0..lines).map(line).collect())
        })
        .collect();
    println!("{name}: {:.1} MB", held() - before);
    drop(black_box(tables));
}

/// Nanoseconds a choice, and a change, medians of five.
fn time(name: &str, lines: usize, mut choose: impl FnMut(), mut change: impl FnMut(usize)) {
    const CHOICES: usize = 100;
    let rounds = (2_000_000 / (lines * 5 + 500)).max(20);
    let mut times: Vec<(f64, f64)> = (0..5)
        .map(|_| {
            let (mut chosen, mut changed) = (0.0, 0.0);
            for round in 0..rounds {
                let begun = Instant::now();
                (0..CHOICES).for_each(|_| choose());
                chosen += begun.elapsed().as_nanos() as f64;
                let begun = Instant::now();
                change(round);
                changed += begun.elapsed().as_nanos() as f64;
            }
            (chosen / (rounds * CHOICES) as f64, changed / rounds as f64)
        })
        .collect();
    times.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (chosen, changed) = times[2];
    let all = chosen + changed / CHOICES as f64;
    println!(
        "{lines:6} lines  {name:24} {chosen:9.0} ns a choice {changed:9.0} ns a change {all:9.0} ns together"
    );
}

fn main() {
    memory("10,000 lines over 40 tables", 250);
    memory("40 tables of 10,000 lines", 10_000);
    for lines in [10, 600, 10_000] {
        let weights: Vec<u32> = (0..lines).map(|place| 1 + (place * 37 % 256) as u32).collect();
        let other = |round: usize| (round * 7919 % lines, 1 + (round * 31 % 256) as u32);
        let mut scan =
            ScanWheel { weights: weights.iter().map(|w| i64::from(*w)).collect(), owed: vec![0; lines] };
        let cell = std::cell::RefCell::new(&mut scan);
        time(
            "wheel, plain scan",
            lines,
            || {
                black_box(cell.borrow_mut().next());
            },
            |round| {
                let (place, weight) = other(round);
                cell.borrow_mut().weights[place] = i64::from(weight);
            },
        );
        for (name, way) in [
            ("wheel, heap", LoadBalancingPolicy::SmoothWeightedRoundRobin),
            ("lottery, tree", LoadBalancingPolicy::WeightedRandom),
            ("pair, tree", LoadBalancingPolicy::PowerOfTwoChoices),
        ] {
            let chooser = std::cell::RefCell::new(Chooser::new(way, &weights));
            let mut chance = WyRand::new_seed(1);
            let mut choose = || {
                black_box(chooser.borrow_mut().next(&mut chance, |_| true, |place| place % 7));
            };
            time(name, lines, &mut choose, |round| {
                let (place, weight) = other(round);
                chooser.borrow_mut().set(place, weight);
            });
        }
        let plain = std::cell::RefCell::new(weights.clone());
        let mut chance = WyRand::new_seed(1);
        time(
            "lottery, plain scan",
            lines,
            || {
                black_box(scan_draw(&plain.borrow(), &mut chance));
            },
            |round| {
                let (place, weight) = other(round);
                plain.borrow_mut()[place] = weight;
            },
        );
        let alias = std::cell::RefCell::new((Alias::new(&weights), weights.clone()));
        let mut chance = WyRand::new_seed(1);
        time(
            "lottery, alias",
            lines,
            || {
                black_box(alias.borrow().0.draw(&mut chance));
            },
            |round| {
                let (place, weight) = other(round);
                let mut alias = alias.borrow_mut();
                alias.1[place] = weight;
                alias.0 = Alias::new(&alias.1);
            },
        );
    }
}
