//! Choosing evenly by weight: each line is due again after a span that its weight sets, and the
//! line that is due first comes next. A heap finds it in as many steps as its depth, where a scan
//! looks at every line.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Spans are whole numbers, so that many rounds do not blur them: this, over the weight.
const ROUND: u64 = 1 << 40;

/// Lines by the time at which they are due.
#[derive(Clone, Debug, Default)]
pub struct SmoothWeightedRoundRobin {
    weights: Vec<u32>,
    /// The turn in which each line stands in the heap; what stands there from an earlier one is void.
    turns: Vec<u32>,
    due: BinaryHeap<Reverse<(u64, u32, usize)>>,
    now: u64,
}

impl SmoothWeightedRoundRobin {
    pub fn new(weights: &[u32]) -> Self {
        let mut wheel = SmoothWeightedRoundRobin {
            weights: vec![0; weights.len()],
            turns: vec![0; weights.len()],
            ..SmoothWeightedRoundRobin::default()
        };
        for (place, weight) in weights.iter().enumerate() {
            wheel.set(place, *weight);
        }
        wheel
    }

    /// A line with another weight waits for half of its new span: neither at once, for then every
    /// change would bring it a visit, nor for the whole, for then it would come late.
    pub fn set(&mut self, place: usize, weight: u32) {
        if self.weights[place] == weight {
            return;
        }
        self.weights[place] = weight;
        self.turns[place] = self.turns[place].wrapping_add(1);
        if weight > 0 {
            self.push(place, self.now + span(weight) / 2);
        }
        // Void entries must not outgrow the lines.
        if self.due.len() > 2 * self.weights.len() + 16 {
            let turns = &self.turns;
            self.due.retain(|Reverse((_, turn, place))| turns[*place] == *turn);
        }
    }

    fn push(&mut self, place: usize, at: u64) {
        self.due.push(Reverse((at, self.turns[place], place)));
    }

    /// The next open line. Lines that are shut keep their turn: they come first once they open, and
    /// only once, not as often as they were passed over.
    pub fn next(&mut self, open: impl Fn(usize) -> bool) -> Option<usize> {
        let mut passed = Vec::new();
        let mut found = None;
        while let Some(Reverse((at, turn, place))) = self.due.pop() {
            if self.turns[place] != turn {
                continue;
            }
            if open(place) {
                found = Some((at, place));
                break;
            }
            passed.push(Reverse((at, turn, place)));
        }
        self.due.extend(passed);
        let (at, place) = found?;
        self.now = self.now.max(at);
        self.push(place, self.now + span(self.weights[place]));
        Some(place)
    }
}

fn span(weight: u32) -> u64 {
    ROUND / u64::from(weight)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Over a whole round each line comes as often as its weight says, to within one visit, and
        /// at no time is a line more than one visit from its share.
        #[test]
        fn shares_are_kept_all_along(weights in proptest::collection::vec(0_u32..40, 1..12)) {
            let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
            let (mut wheel, mut came) = (SmoothWeightedRoundRobin::new(&weights), vec![0_u64; weights.len()]);
            for visit in 1..=total * 3 {
                came[wheel.next(|_| true).expect("some weight is left")] += 1;
                for (place, weight) in weights.iter().enumerate() {
                    let share = visit as f64 * f64::from(*weight) / total as f64;
                    let off = (came[place] as f64 - share).abs();
                    prop_assert!(off < 1.0 + weights.len() as f64 / 2.0, "line {} is {} off", place, off);
                }
            }
            for (place, weight) in weights.iter().enumerate() {
                let wanted = u64::from(*weight) * 3;
                prop_assert!(came[place].abs_diff(wanted) <= 1, "{:?} of {:?}", came, weights);
            }
            prop_assert_eq!(SmoothWeightedRoundRobin::new(&vec![0; weights.len()]).next(|_| true), None);
        }

        /// Shut lines never come, and a line that was shut long is not made up for.
        #[test]
        fn a_line_that_opens_again_brings_no_burst(weights in proptest::collection::vec(1_u32..40, 2..12)) {
            let mut wheel = SmoothWeightedRoundRobin::new(&weights);
            for _ in 0..500 {
                prop_assert!(wheel.next(|place| place != 0) != Some(0));
            }
            let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
            let came = (0..total).filter(|_| wheel.next(|_| true) == Some(0)).count();
            prop_assert!(came <= weights[0] as usize + 2, "{} of {}", came, weights[0]);
        }
    }

    #[test]
    fn changes_of_single_lines_do_not_pile_up() {
        let mut wheel = SmoothWeightedRoundRobin::new(&[5; 100]);
        for change in 0..100_000 {
            wheel.set(change % 100, 1 + (change / 100 % 7) as u32);
        }
        assert!(wheel.due.len() <= 216, "{}", wheel.due.len());
    }
}
