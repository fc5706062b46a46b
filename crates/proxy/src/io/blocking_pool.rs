//! A thread pool for file operations, which may block on the disk and must not block the threads that forward
//! requests. All proxies of a process share it, since a process may run many of them. Reads of snapshots take
//! precedence over status writes: outdated tables send requests to the wrong endpoints, while a late status
//! only delays the acknowledgement.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};

use tokio::sync::oneshot;

type Job = Box<dyn FnOnce() + Send>;

const THREAD_COUNT: usize = 3;

/// The priority of a job: queued `Read` jobs run before queued `WriteStatus` jobs.
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

/// The job queue of the pool's threads, which run until the process exits.
#[derive(Default)]
struct JobQueue {
    jobs: Mutex<Jobs>,
    available: Condvar,
}

impl JobQueue {
    /// Returns the queue of the process and starts the threads on the first call.
    fn global() -> &'static JobQueue {
        static QUEUE: OnceLock<JobQueue> = OnceLock::new();
        static STARTED: OnceLock<()> = OnceLock::new();
        let queue = QUEUE.get_or_init(JobQueue::default);
        STARTED.get_or_init(|| {
            for number in 0..THREAD_COUNT {
                // If no thread can be spawned, callers wait forever, as they do if the disk hangs.
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

/// Runs `work` on a thread of the pool and waits for its result. `work` runs even if the returned future is
/// dropped.
///
/// # Panics
/// Panics if `work` panics. The pool then has one thread fewer.
pub async fn run_blocking<T: Send + 'static>(
    priority: Priority,
    work: impl FnOnce() -> T + Send + 'static,
) -> T {
    let (result_sender, result_receiver) = oneshot::channel();
    JobQueue::global().push(priority, Box::new(move || drop(result_sender.send(work()))));
    result_receiver.await.expect("the job does not panic")
}
