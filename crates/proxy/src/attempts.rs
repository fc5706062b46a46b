//! Outcomes of attempts at endpoints, and the rule for retrying a request.

/// The outcome of one attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered with this HTTP status code.
    Answered(u16),
    /// No connection was established, so no byte of the request was written.
    ConnectFailed,
    /// The endpoint reported that it rejected the request without reading it.
    Rejected,
    /// The connection broke after the first byte of the request, or the response was incomplete.
    ConnectionBroken,
    /// No response arrived within the time limit. The endpoint may still be executing the request.
    TimedOut,
}

impl AttemptOutcome {
    /// Returns true if the outcome proves that the endpoint did not execute the request.
    #[must_use]
    pub fn is_not_executed(self) -> bool {
        matches!(self, AttemptOutcome::ConnectFailed | AttemptOutcome::Rejected)
    }

    /// Returns true if the attempt counts as a failure of the endpoint: any outcome except an answer with a status
    /// below 500.
    #[must_use]
    pub fn is_failure(self) -> bool {
        !matches!(self, AttemptOutcome::Answered(status) if status < 500)
    }
}

/// Returns true if a request may be retried after `attempts` attempts, the last of which ended with `outcome`.
///
/// One retry is allowed, and only with proof that the endpoint did not execute the request, so that no request
/// is executed twice. Requests that are not idempotent may therefore be retried too. `enabled` is true if the
/// controller allows retries for the class of the request.
#[must_use]
pub fn may_retry(attempts: u32, outcome: AttemptOutcome, enabled: bool) -> bool {
    enabled && attempts == 1 && outcome.is_not_executed()
}
