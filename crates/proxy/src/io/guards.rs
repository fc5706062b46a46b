//! Guards for what a request occupies while it is handled: counts, attempts in flight and retry tokens. The
//! HTTP library drops the future of a request whose client reset the connection, at any `await`. Each guard
//! releases its share when it is dropped, so that abandoned requests don't use up capacity permanently.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use super::worker::Worker;
use crate::attempts::AttemptOutcome;
use crate::routing::ChosenEndpoint;

/// Adds one to a shared count and subtracts it again when dropped.
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        CountGuard(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// An attempt in flight. If the guard is dropped before the outcome was recorded, the attempt counts as
/// abandoned. In either case requests that wait for capacity are woken.
pub struct AttemptGuard<'a> {
    worker: &'a Worker,
    endpoint: ChosenEndpoint,
    is_recorded: bool,
}

impl<'a> AttemptGuard<'a> {
    /// Returns a guard for an attempt that already counts as in flight.
    pub fn new(worker: &'a Worker, endpoint: ChosenEndpoint) -> Self {
        AttemptGuard { worker, endpoint, is_recorded: false }
    }

    pub fn endpoint(&self) -> &ChosenEndpoint {
        &self.endpoint
    }

    /// Records the outcome of the attempt. Returns the name of its endpoint.
    pub fn record_outcome(mut self, outcome: AttemptOutcome, latency: Duration) -> String {
        let worker = self.worker;
        worker.state().record_outcome(worker.now(), &self.endpoint, outcome, latency);
        self.is_recorded = true;
        std::mem::take(&mut self.endpoint.endpoint)
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.is_recorded {
            self.endpoint.abandon();
        }
        self.worker.capacity_changed.notify_waiters();
    }
}

/// A token of the retry budget. It is refunded if the reservation is dropped before the retry is made.
pub struct RetryReservation<'a> {
    worker: &'a Worker,
    is_spent: bool,
}

impl<'a> RetryReservation<'a> {
    /// Takes a token from the budget. Returns `None` if the budget allows no retry.
    pub fn try_reserve(worker: &'a Worker) -> Option<Self> {
        let reserved = worker.retry_budget.borrow_mut().try_reserve();
        reserved.then(|| RetryReservation { worker, is_spent: false })
    }

    /// Keeps the token out of the budget, as the retry is made now.
    pub fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for RetryReservation<'_> {
    fn drop(&mut self) {
        if !self.is_spent {
            self.worker.retry_budget.borrow_mut().refund();
        }
    }
}
