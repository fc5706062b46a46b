//! A thread that processes items from a channel. At shutdown the daemon closes the channel and gives the thread time to
//! process the remaining items.

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;

/// A running thread and the channel from which it receives its items.
pub struct WorkerThread<T> {
    /// `None` once the channel is closed.
    sender: Option<Sender<T>>,
    thread: JoinHandle<()>,
}

impl<T: Send + 'static> WorkerThread<T> {
    /// Spawns a thread that runs `work`, which has to return once the channel is closed and empty.
    ///
    /// # Errors
    /// The operating system could not create the thread.
    pub fn spawn(name: &str, work: impl FnOnce(&Receiver<T>) + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = channel();
        let thread = std::thread::Builder::new().name(name.into()).spawn(move || work(&receiver))?;
        Ok(WorkerThread { sender: Some(sender), thread })
    }

    /// Sends an item to the thread without blocking. The item is dropped if the channel is closed.
    pub fn send(&self, item: T) {
        if let Some(sender) = &self.sender {
            // The thread keeps its receiver until the channel is closed, so sending can't fail.
            let _ = sender.send(item);
        }
    }

    /// Closes the channel. The thread processes the remaining items and ends; this does not wait for it.
    pub fn close(&mut self) {
        self.sender = None;
    }

    /// Returns true if the thread has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.is_finished()
    }
}
