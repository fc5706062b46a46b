//! A thread that works off an inbox, owned by the daemon: at the end it is given time to finish what it was handed.

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;

/// A running thread and its inbox.
pub struct WorkerThread<T> {
    inbox: Option<Sender<T>>,
    thread: JoinHandle<()>,
}

impl<T: Send + 'static> WorkerThread<T> {
    /// Starts a thread that has to end once its inbox is closed and empty.
    ///
    /// # Errors
    /// The thread can't be had.
    pub fn spawn(name: &str, work: impl FnOnce(&Receiver<T>) + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = channel();
        let thread = std::thread::Builder::new().name(name.into()).spawn(move || work(&receiver))?;
        Ok(WorkerThread { inbox: Some(sender), thread })
    }

    /// Hands something to the thread.
    pub fn send(&self, item: T) {
        if let Some(inbox) = &self.inbox {
            // The thread ends only once its inbox is closed.
            let _ = inbox.send(item);
        }
    }

    /// Closes the inbox: the thread finishes what is in it, and ends.
    pub fn close(&mut self) {
        self.inbox = None;
    }

    /// Whether the thread has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }
}
