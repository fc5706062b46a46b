//! What a request counts up while it is handled. The HTTP library drops the future of a request whose client
//! has gone, at any `await`: each count is given back when its guard is dropped.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use super::worker::Worker;
use crate::attempts::AttemptOutcome;
use crate::routing::ChosenEndpoint;

/// Counts one of several that are in progress, until it is dropped.
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

/// An attempt in flight. Dropped before its outcome was recorded, it is abandoned.
pub struct AttemptGuard<'a> {
    worker: &'a Worker,
    endpoint: ChosenEndpoint,
    has_ended: bool,
}

impl<'a> AttemptGuard<'a> {
    /// Guards an attempt that counts as in flight.
    pub fn new(worker: &'a Worker, endpoint: ChosenEndpoint) -> Self {
        AttemptGuard { worker, endpoint, has_ended: false }
    }

    pub fn endpoint(&self) -> &ChosenEndpoint {
        &self.endpoint
    }

    /// Records how the attempt ended; gives the name of its endpoint.
    pub fn end(mut self, outcome: AttemptOutcome, latency: Duration) -> String {
        let worker = self.worker;
        worker.state().record_outcome(worker.now(), &self.endpoint, outcome, latency);
        self.has_ended = true;
        std::mem::take(&mut self.endpoint.endpoint)
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.endpoint.abandon();
        }
        self.worker.capacity.notify_waiters();
    }
}

/// A retry that the budget allows. Dropped before the retry was made, it goes back into the budget.
pub struct RetryReservation<'a> {
    worker: &'a Worker,
    is_used: bool,
}

impl<'a> RetryReservation<'a> {
    /// `None` if the budget allows no retry.
    pub fn try_reserve(worker: &'a Worker) -> Option<Self> {
        let reserved = worker.retry_budget.borrow_mut().try_reserve();
        reserved.then(|| RetryReservation { worker, is_used: false })
    }

    /// The retry is made.
    pub fn spend(mut self) {
        self.is_used = true;
    }
}

impl Drop for RetryReservation<'_> {
    fn drop(&mut self) {
        if !self.is_used {
            self.worker.retry_budget.borrow_mut().refund();
        }
    }
}
