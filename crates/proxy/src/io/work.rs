//! Work that may wait for a disk, off the thread of the visits. A process has a few hands for it, whoever in it asks: many
//! proxies in one process, as in a rehearsal, must not start a thread each.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

use tokio::sync::oneshot;

type Job = Box<dyn FnOnce() + Send>;

const HANDS: usize = 3;

fn jobs() -> &'static Mutex<Sender<Job>> {
    static JOBS: OnceLock<Mutex<Sender<Job>>> = OnceLock::new();
    JOBS.get_or_init(|| {
        let (sender, inbox) = channel();
        let inbox = Arc::new(Mutex::new(inbox));
        for number in 0..HANDS {
            let inbox = inbox.clone();
            // With no thread at all, whoever asks waits for ever, as it would with a disk that hangs.
            let _ = std::thread::Builder::new().name(format!("files-{number}")).spawn(move || hand(&inbox));
        }
        Mutex::new(sender)
    })
}

fn hand(inbox: &Mutex<Receiver<Job>>) {
    loop {
        let job = inbox.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = job else { return };
        job();
    }
}

/// # Panics
/// The work itself panics.
pub async fn off_thread<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let (sender, done) = oneshot::channel();
    let job = Box::new(move || drop(sender.send(work())));
    let _ = jobs().lock().unwrap_or_else(PoisonError::into_inner).send(job);
    done.await.expect("work that was begun ends")
}
