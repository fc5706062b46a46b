//! How an attempt at an endpoint can end, and when a request may be attempted a second time.

/// How one attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered with this status code.
    Answered(u16),
    /// No connection was established, so no byte of the request was written.
    ConnectFailed,
    /// The endpoint reported that it rejected the request without reading it.
    Rejected,
    /// The connection broke after the first byte of the request, or the response was incomplete.
    ConnectionBroken,
    /// No response came within the time limit. The endpoint may still be executing the request.
    TimedOut,
}

impl AttemptOutcome {
    /// Whether there is proof that the endpoint did not execute the request.
    #[must_use]
    pub fn is_not_executed(self) -> bool {
        matches!(self, AttemptOutcome::ConnectFailed | AttemptOutcome::Rejected)
    }

    /// Whether the attempt counts as a failure of the endpoint: everything but a status below 500.
    #[must_use]
    pub fn is_failure(self) -> bool {
        !matches!(self, AttemptOutcome::Answered(status) if status < 500)
    }
}

/// Whether a request may be retried after `attempts` attempts of which the last ended with `outcome`.
///
/// One retry is allowed, and only with proof of non-execution, so that no request is executed twice. This
/// holds for requests that are not idempotent too, as nothing was done yet. `enabled` is what the controller
/// set for the class.
#[must_use]
pub fn may_retry(attempts: u32, outcome: AttemptOutcome, enabled: bool) -> bool {
    enabled && attempts == 1 && outcome.is_not_executed()
}
