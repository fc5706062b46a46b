//! What a pilot's process takes of the machine, second by second, from the kernel's own account.

use std::fmt;
use std::fs;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lockcroft_testbed::TrafficRecorder;
use serde::Serialize;
use tokio::task::JoinHandle;

const EVERY: Duration = Duration::from_secs(1);
/// The kernel counts CPU time in hundredths of a second, wherever Linux runs today.
const TICKS: f64 = 100.0;

/// Cores in use and megabytes held, a sample a second: time in s, cores, MB.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ResourceUsage {
    pub samples: Vec<(f64, f64, f64)>,
    /// Seconds of CPU that the threads of all proxies took, their reading of files among it.
    pub proxies_s: f64,
}

impl fmt::Display for ResourceUsage {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let mut cores: Vec<f64> = self.samples.iter().map(|(_, cores, _)| *cores).collect();
        cores.sort_by(f64::total_cmp);
        let most = self.samples.iter().map(|(_, _, held)| *held).fold(0.0, f64::max);
        let middle = cores.get(cores.len() / 2).copied().unwrap_or(0.0);
        let peak = cores.last().copied().unwrap_or(0.0);
        write!(
            out,
            "pilot: {middle:.2} cores (median second), {peak:.2} (worst second), {most:.0} MB at most; \
             proxies: {:.1} s of CPU in all",
            self.proxies_s
        )
    }
}

pub struct ResourceMeter {
    load: Arc<Mutex<ResourceUsage>>,
    task: JoinHandle<()>,
}

impl ResourceMeter {
    /// Watches the process of this number, whichever that is at the time.
    pub fn start(id: Arc<AtomicU32>, tap: TrafficRecorder) -> Self {
        let load = Arc::new(Mutex::new(ResourceUsage::default()));
        let into = load.clone();
        let task = tokio::spawn(async move {
            let mut last = None;
            loop {
                tokio::time::sleep(EVERY).await;
                let (at, id) = (tap.now().as_secs_f64(), id.load(Ordering::Relaxed));
                let is = sample(id).map(|(ticks, held)| (id, at, ticks, held));
                if let (Some((was_id, was_at, was, _)), Some((id, at, ticks, held))) = (last, is)
                    && was_id == id
                {
                    let cores = (ticks - was) / TICKS / (at - was_at);
                    into.lock().unwrap_or_else(PoisonError::into_inner).samples.push((at, cores, held));
                }
                last = is;
            }
        });
        ResourceMeter { load, task }
    }

    pub fn read(self) -> ResourceUsage {
        self.task.abort();
        let load = self.load.lock().unwrap_or_else(PoisonError::into_inner).clone();
        ResourceUsage { proxies_s: of_threads(&["proxies-", "files-"]), ..load }
    }
}

/// Seconds of CPU so far of this process's own threads with such names.
fn of_threads(names: &[&str]) -> f64 {
    let threads = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let ticks = |thread: fs::DirEntry| {
        let stat = fs::read_to_string(thread.path().join("stat")).ok()?;
        let (head, fields) = stat.rsplit_once(')')?;
        let name = head.split_once('(')?.1;
        names.iter().any(|wanted| name.starts_with(wanted)).then(|| ticks_of(fields))?
    };
    threads.filter_map(ticks).sum::<f64>() / TICKS
}

/// User and system time among the fields behind a process's or thread's name: fields 14 and 15.
fn ticks_of(fields: &str) -> Option<f64> {
    let fields: Vec<&str> = fields.split_whitespace().collect();
    Some(fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?)
}

/// Ticks of CPU so far, and resident megabytes.
fn sample(id: u32) -> Option<(f64, f64)> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name in brackets may hold blanks.
    let ticks = ticks_of(stat.rsplit_once(')')?.1)?;
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let held = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some((ticks, held.trim().trim_end_matches(" kB").parse::<f64>().ok()? / 1024.0))
}
