//! Work that may wait for a disk, off the thread of the visits. A process has a few hands for it, whoever in it asks: many
//! proxies in one process, as in a rehearsal, must not start a thread each. What is read goes before what is told: a
//! proxy that lays late sends visits to where they should not go, one that tells late is only known late.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, OnceLock, PoisonError};

use tokio::sync::oneshot;

type Job = Box<dyn FnOnce() + Send>;

const HANDS: usize = 3;

/// Which of the jobs that wait goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    Read,
    Tell,
}

#[derive(Default)]
struct Jobs {
    waiting: Mutex<[VecDeque<Job>; 2]>,
    some: Condvar,
}

fn jobs() -> &'static Jobs {
    static JOBS: OnceLock<Jobs> = OnceLock::new();
    static HIRED: OnceLock<()> = OnceLock::new();
    let jobs = JOBS.get_or_init(Jobs::default);
    HIRED.get_or_init(|| {
        for number in 0..HANDS {
            // With no thread at all, whoever asks waits for ever, as it would with a disk that hangs.
            let _ = std::thread::Builder::new().name(format!("files-{number}")).spawn(|| hand(jobs));
        }
    });
    jobs
}

fn hand(jobs: &Jobs) {
    let mut waiting = jobs.waiting.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        match waiting.iter_mut().find_map(VecDeque::pop_front) {
            Some(job) => {
                drop(waiting);
                job();
                waiting = jobs.waiting.lock().unwrap_or_else(PoisonError::into_inner);
            }
            None => waiting = jobs.some.wait(waiting).unwrap_or_else(PoisonError::into_inner),
        }
    }
}

/// # Panics
/// The work itself panics.
pub async fn off_thread<T: Send + 'static>(turn: Turn, work: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, done) = oneshot::channel();
    let job: Job = Box::new(move || drop(sender.send(work())));
    let jobs = jobs();
    jobs.waiting.lock().unwrap_or_else(PoisonError::into_inner)[turn as usize].push_back(job);
    jobs.some.notify_one();
    done.await.expect("work that was begun ends")
}
