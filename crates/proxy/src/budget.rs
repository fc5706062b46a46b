//! Second tries cost what a jam has least of. A budget over all visits keeps them to a share of first
//! tries, so that they can never multiply the load.

/// Tokens come with first tries and go with second ones; so many may be saved up.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Second tries for each first one.
    share: f64,
    saved: f64,
    most: f64,
}

/// What may be saved, in first tries: a quiet time must not pay for a storm.
const SAVED: f64 = 100.0;

impl RetryBudget {
    /// A share of 0 allows none, one of infinity any number.
    pub fn new(share: f64) -> Self {
        let most = if share > 0.0 { (share * SAVED).max(1.0) } else { 0.0 };
        RetryBudget { share, saved: most, most }
    }

    pub fn first_try(&mut self) {
        self.saved = (self.saved + self.share).min(self.most);
    }

    /// Whether there is enough for a second try, which is taken off then.
    pub fn second_try(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        self.saved -= if enough { 1.0 } else { 0.0 };
        enough
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_storm_gets_its_share_and_what_was_saved() {
        let mut budget = RetryBudget::new(0.1);
        let second = (0..10_000)
            .filter(|_| {
                budget.first_try();
                budget.second_try()
            })
            .count();
        assert!((1000..=1011).contains(&second), "{second}");
        let mut none = RetryBudget::new(0.0);
        none.first_try();
        assert!(!none.second_try());
        let mut any = RetryBudget::new(f64::INFINITY);
        assert!((0..1000).all(|_| any.second_try()));
    }
}
