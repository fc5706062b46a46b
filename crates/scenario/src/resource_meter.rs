//! What a controller's process takes of the machine, second by second, from the kernel's own account.

use std::fmt;
use std::fs;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lockcroft_testbed::TrafficRecorder;
use serde::Serialize;

use crate::owned_task::OwnedTask;

const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// The kernel counts CPU time in ticks of a hundredth of a second (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
const KIB_PER_MIB: f64 = 1024.0;
/// Names of the threads of proxies and of their reading of files begin so.
const PROXY_THREADS: [&str; 2] = ["proxies-", "files-"];
/// Where user and system time stand among the fields behind a process's name in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// What a controller's process took within a second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, f64, f64)")]
pub struct ResourceSample {
    /// In seconds since the start of the scenario.
    pub at_s: f64,
    /// Cores in use.
    pub cores: f64,
    /// Resident memory in MiB.
    pub memory_mib: f64,
}

impl From<ResourceSample> for (f64, f64, f64) {
    fn from(sample: ResourceSample) -> Self {
        (sample.at_s, sample.cores, sample.memory_mib)
    }
}

/// What the controller and the proxies took of the machine. The names in JSON stay.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ResourceUsage {
    /// A sample of the controller a second.
    pub samples: Vec<ResourceSample>,
    /// Seconds of CPU that the threads of all proxies took, their reading of files among it.
    #[serde(rename = "proxies_s")]
    pub proxy_cpu_s: f64,
}

impl fmt::Display for ResourceUsage {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let mut cores: Vec<f64> = self.samples.iter().map(|sample| sample.cores).collect();
        cores.sort_by(f64::total_cmp);
        let max_memory = self.samples.iter().map(|sample| sample.memory_mib).fold(0.0, f64::max);
        let median = cores.get(cores.len() / 2).copied().unwrap_or(0.0);
        let worst = cores.last().copied().unwrap_or(0.0);
        write!(
            out,
            "pilot: {median:.2} cores (median second), {worst:.2} (worst second), {max_memory:.0} MB at most; \
             proxies: {:.1} s of CPU in all",
            self.proxy_cpu_s
        )
    }
}

/// Samples a controller's process for as long as it lives.
pub struct ResourceMeter {
    samples: Arc<Mutex<Vec<ResourceSample>>>,
    sampling: OwnedTask,
}

/// The kernel's account of a process.
#[derive(Clone, Copy)]
struct ProcessAccount {
    process_id: u32,
    /// When it was read, in seconds since the start of the scenario.
    at_s: f64,
    /// CPU time since the start of the process.
    cpu_ticks: f64,
    memory_mib: f64,
}

impl ResourceMeter {
    /// Samples the process of this number, whichever that is at the time; 0 is none.
    #[must_use]
    pub fn start(process_id: Arc<AtomicU32>, recorder: TrafficRecorder) -> Self {
        let samples = Arc::new(Mutex::new(Vec::new()));
        let sampling = OwnedTask::spawn(sample(process_id, recorder, samples.clone()));
        ResourceMeter { samples, sampling }
    }

    /// Ends the sampling and gives what was seen.
    #[must_use]
    pub fn finish(self) -> ResourceUsage {
        drop(self.sampling);
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner).clone();
        ResourceUsage { samples, proxy_cpu_s: cpu_seconds_of_threads(&PROXY_THREADS) }
    }
}

async fn sample(
    process_id: Arc<AtomicU32>,
    recorder: TrafficRecorder,
    samples: Arc<Mutex<Vec<ResourceSample>>>,
) {
    let mut last: Option<ProcessAccount> = None;
    loop {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let at_s = recorder.now().as_secs_f64();
        let account = ProcessAccount::read(process_id.load(Ordering::Relaxed), at_s);
        if let (Some(last), Some(account)) = (last, account)
            && last.process_id == account.process_id
        {
            let sample = account.since(&last);
            samples.lock().unwrap_or_else(PoisonError::into_inner).push(sample);
        }
        last = account;
    }
}

impl ProcessAccount {
    fn read(process_id: u32, at_s: f64) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
        // The name in brackets may hold blanks and brackets.
        let cpu_ticks = cpu_ticks(stat.rsplit_once(')')?.1)?;
        let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_mib = resident.trim().trim_end_matches(" kB").parse::<f64>().ok()? / KIB_PER_MIB;
        Some(ProcessAccount { process_id, at_s, cpu_ticks, memory_mib })
    }

    fn since(&self, last: &ProcessAccount) -> ResourceSample {
        let cores = (self.cpu_ticks - last.cpu_ticks) / TICKS_PER_SECOND / (self.at_s - last.at_s);
        ResourceSample { at_s: self.at_s, cores, memory_mib: self.memory_mib }
    }
}

/// Seconds of CPU so far of this process's own threads whose names begin so.
fn cpu_seconds_of_threads(prefixes: &[&str]) -> f64 {
    let threads = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let ticks = |thread: fs::DirEntry| {
        let stat = fs::read_to_string(thread.path().join("stat")).ok()?;
        let (head, fields) = stat.rsplit_once(')')?;
        let name = head.split_once('(')?.1;
        prefixes.iter().any(|prefix| name.starts_with(prefix)).then(|| cpu_ticks(fields))?
    };
    threads.filter_map(ticks).sum::<f64>() / TICKS_PER_SECOND
}

/// User and system time among the fields behind a process's or thread's name.
fn cpu_ticks(fields: &str) -> Option<f64> {
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let user: f64 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
    let system: f64 = fields.get(SYSTEM_TIME_FIELD)?.parse().ok()?;
    Some(user + system)
}
