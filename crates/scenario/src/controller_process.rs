//! A controller in its own process, started as in production.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A controller's process. Dropping it kills the process, so that none remains after an aborted scenario.
pub struct ControllerProcess {
    program: PathBuf,
    config_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    /// The id of the current process; 0 if there is none.
    process_id: Arc<AtomicU32>,
}

impl ControllerProcess {
    /// Starts the program with this configuration file and appends its log to the log file.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start(program: &Path, config_path: &Path, log_path: &Path) -> io::Result<Self> {
        let mut process = ControllerProcess {
            program: program.into(),
            config_path: config_path.into(),
            log_path: log_path.into(),
            child: None,
            process_id: Arc::default(),
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the process again, after killing it if it runs. Its log is appended to the same file.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        let log = File::options().create(true).append(true).open(&self.log_path)?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg(&self.config_path).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn()?;
        self.process_id.store(child.id(), Ordering::Relaxed);
        self.child = Some(child);
        Ok(())
    }

    /// Returns the id of the current process, which is updated at each restart; 0 while there is none.
    #[must_use]
    pub fn process_id(&self) -> Arc<AtomicU32> {
        self.process_id.clone()
    }

    /// Kills the process by SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        self.process_id.store(0, Ordering::Relaxed);
        if let Some(mut child) = self.child.take() {
            // An error means that the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM, waits for the process to end and returns its exit code. Kills the process and returns `None` if
    /// it doesn't end within the timeout. Blocks the thread meanwhile.
    pub fn terminate(&mut self, timeout: Duration) -> Option<i32> {
        let mut child = self.child.take()?;
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let signal_sent = pid.map(|pid| kill_process(pid, Signal::TERM));
        let deadline = Instant::now() + timeout;
        while signal_sent.is_some() && Instant::now() < deadline {
            if let Ok(Some(status)) = child.try_wait() {
                return status.code();
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        self.child = Some(child);
        self.kill();
        None
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
