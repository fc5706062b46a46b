//! A pilot in a process of its own, as operators run it.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Killed when dropped, so that a day that is broken off leaves nobody behind.
pub struct ControllerProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// The process of now; 0 for none.
    id: Arc<AtomicU32>,
}

impl ControllerProcess {
    /// # Errors
    /// The program can't be started.
    pub fn start(program: &Path, settings: &Path, log: &Path) -> io::Result<Self> {
        let (program, settings, log) = (program.into(), settings.into(), log.into());
        let mut pilot = ControllerProcess { program, settings, log, child: None, id: Arc::default() };
        pilot.again()?;
        Ok(pilot)
    }

    /// Starts it anew; its log goes on in the same file.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn again(&mut self) -> io::Result<()> {
        self.kill();
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg(&self.settings).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn()?;
        self.id.store(child.id(), Ordering::Relaxed);
        self.child = Some(child);
        Ok(())
    }

    /// The number of the process, as it is at any time; 0 while there is none.
    pub fn watch(&self) -> Arc<AtomicU32> {
        self.id.clone()
    }

    /// Outright, as a machine that is lost.
    pub fn kill(&mut self) {
        self.id.store(0, Ordering::Relaxed);
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// By SIGTERM; the exit code if it ends within the time.
    pub fn end(&mut self, within: Duration) -> Option<i32> {
        let mut child = self.child.take()?;
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let asked = pid.map(|pid| kill_process(pid, Signal::TERM));
        let until = Instant::now() + within;
        while asked.is_some() && Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
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
