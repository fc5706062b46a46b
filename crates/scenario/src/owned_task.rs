//! A task that is aborted with its owner.

use tokio::task::JoinHandle;

/// Aborts its task when dropped.
pub struct OwnedTask(JoinHandle<()>);

impl OwnedTask {
    /// Spawns the task on the current Tokio runtime. Panics outside of one.
    pub fn spawn(task: impl Future<Output = ()> + Send + 'static) -> Self {
        OwnedTask(tokio::spawn(task))
    }
}

impl Drop for OwnedTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
