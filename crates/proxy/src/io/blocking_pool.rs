//! Work that may wait for a disk, off the threads that forward requests. All proxies of a process share a few
//! threads for it, since a process may run many of them. Reads go before status writes: a proxy whose tables
//! are late sends requests to the wrong endpoints, one whose status is late is only known late.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};

use tokio::sync::oneshot;

type Job = Box<dyn FnOnce() + Send>;

const THREADS: usize = 3;

/// Which of the waiting jobs goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    Read,
    WriteStatus,
}

#[derive(Default)]
struct Jobs {
    reads: VecDeque<Job>,
    status_writes: VecDeque<Job>,
}

impl Jobs {
    fn push(&mut self, priority: Priority, job: Job) {
        match priority {
            Priority::Read => self.reads.push_back(job),
            Priority::WriteStatus => self.status_writes.push_back(job),
        }
    }

    fn pop(&mut self) -> Option<Job> {
        self.reads.pop_front().or_else(|| self.status_writes.pop_front())
    }
}

/// The queue of all threads. They live as long as the process.
#[derive(Default)]
struct JobQueue {
    jobs: Mutex<Jobs>,
    available: Condvar,
}

impl JobQueue {
    /// The queue of the process; starts the threads at its first use.
    fn global() -> &'static JobQueue {
        static QUEUE: OnceLock<JobQueue> = OnceLock::new();
        static STARTED: OnceLock<()> = OnceLock::new();
        let queue = QUEUE.get_or_init(JobQueue::default);
        STARTED.get_or_init(|| {
            for number in 0..THREADS {
                // Without any thread a caller waits for ever, as it would with a disk that hangs.
                let thread = std::thread::Builder::new().name(format!("files-{number}"));
                let _ = thread.spawn(|| queue.run());
            }
        });
        queue
    }

    fn lock(&self) -> MutexGuard<'_, Jobs> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, priority: Priority, job: Job) {
        self.lock().push(priority, job);
        self.available.notify_one();
    }

    fn run(&self) {
        let mut jobs = self.lock();
        loop {
            match jobs.pop() {
                Some(job) => {
                    drop(jobs);
                    job();
                    jobs = self.lock();
                }
                None => jobs = self.available.wait(jobs).unwrap_or_else(PoisonError::into_inner),
            }
        }
    }
}

/// Runs `work` on one of the threads and waits for its result.
///
/// # Panics
/// If the work itself panics.
pub async fn run_blocking<T: Send + 'static>(
    priority: Priority,
    work: impl FnOnce() -> T + Send + 'static,
) -> T {
    let (sender, result) = oneshot::channel();
    JobQueue::global().push(priority, Box::new(move || drop(sender.send(work()))));
    result.await.expect("work that was begun ends")
}
