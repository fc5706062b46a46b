//! Choosing evenly by weight: each line comes as often as its weight says, and as evenly spread.

/// The turn of each line; the line that is owed most comes next.
#[derive(Clone, Debug, Default)]
pub struct Wheel {
    owed: Vec<i64>,
}

impl Wheel {
    /// The next of these lines, by place; those of weight 0 never come. `None` if all are of weight 0.
    pub fn next(&mut self, weights: &[u32]) -> Option<usize> {
        // Lines that came or went begin a new round: what was owed was to others.
        if self.owed.len() != weights.len() {
            self.owed = vec![0; weights.len()];
        }
        let total: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
        let mut best: Option<usize> = None;
        for (place, weight) in weights.iter().enumerate() {
            if *weight == 0 {
                self.owed[place] = 0;
                continue;
            }
            self.owed[place] += i64::from(*weight);
            if best.is_none_or(|best| self.owed[place] > self.owed[best]) {
                best = Some(place);
            }
        }
        if let Some(best) = best {
            self.owed[best] -= total;
        }
        best
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Over a whole round each line comes exactly as often as its weight says.
        #[test]
        fn a_round_is_exact(weights in proptest::collection::vec(0_u32..40, 1..12)) {
            let total: u32 = weights.iter().sum();
            let (mut wheel, mut came) = (Wheel::default(), vec![0_u32; weights.len()]);
            for _ in 0..total {
                came[wheel.next(&weights).expect("some weight is left")] += 1;
            }
            prop_assert_eq!(&came, &weights);
            prop_assert_eq!(wheel.next(&vec![0; weights.len()]), None);
        }
    }
}
