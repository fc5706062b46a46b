//! CPU and memory usage of a controller's process, sampled once per second from `/proc`.

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
/// Prefixes of the names of the threads that run proxies and of those that read their table files.
const PROXY_THREADS: [&str; 2] = ["proxies-", "files-"];
/// Indexes of user and system time among the fields after the process name in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// The usage of a controller's process since the previous sample.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(f64, f64, f64)")]
pub struct ResourceSample {
    /// The time of the sample, in seconds since the start of the scenario.
    pub at_s: f64,
    /// CPU usage in cores, averaged since the previous sample.
    pub cores: f64,
    /// Resident memory in MiB.
    pub memory_mib: f64,
}

impl From<ResourceSample> for (f64, f64, f64) {
    fn from(sample: ResourceSample) -> Self {
        (sample.at_s, sample.cores, sample.memory_mib)
    }
}

/// The resource usage of the controller and of the proxies. Other programs read the names in JSON, which are fixed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ResourceUsage {
    /// Samples of the controller's process, one per second.
    pub samples: Vec<ResourceSample>,
    /// CPU time of the threads of all proxies, including the reading of table files, in seconds.
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

/// Samples the resource usage of a controller's process until it is finished or dropped.
pub struct ResourceMeter {
    samples: Arc<Mutex<Vec<ResourceSample>>>,
    sampling: OwnedTask,
}

/// The usage counters of a process, read from `/proc`.
#[derive(Clone, Copy)]
struct ProcessUsage {
    process_id: u32,
    /// The time of reading, in seconds since the start of the scenario.
    at_s: f64,
    /// The CPU time since the start of the process, in clock ticks.
    cpu_ticks: f64,
    memory_mib: f64,
}

impl ResourceMeter {
    /// Starts to sample the process whose id `process_id` currently contains; 0 if there is none. The id may change
    /// when the process is restarted.
    #[must_use]
    pub fn start(process_id: Arc<AtomicU32>, recorder: TrafficRecorder) -> Self {
        let samples = Arc::new(Mutex::new(Vec::new()));
        let sampling = OwnedTask::spawn(sample_usage(process_id, recorder, samples.clone()));
        ResourceMeter { samples, sampling }
    }

    /// Stops the sampling and returns the usage so far.
    #[must_use]
    pub fn finish(self) -> ResourceUsage {
        drop(self.sampling);
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner).clone();
        ResourceUsage { samples, proxy_cpu_s: cpu_seconds_of_threads(&PROXY_THREADS) }
    }
}

async fn sample_usage(
    process_id: Arc<AtomicU32>,
    recorder: TrafficRecorder,
    samples: Arc<Mutex<Vec<ResourceSample>>>,
) {
    let mut last: Option<ProcessUsage> = None;
    loop {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let at_s = recorder.now().as_secs_f64();
        let usage = ProcessUsage::read(process_id.load(Ordering::Relaxed), at_s);
        if let (Some(last), Some(usage)) = (last, usage)
            && last.process_id == usage.process_id
        {
            let sample = usage.since(&last);
            samples.lock().unwrap_or_else(PoisonError::into_inner).push(sample);
        }
        last = usage;
    }
}

impl ProcessUsage {
    /// Reads the counters, or returns `None` if the process doesn't exist.
    fn read(process_id: u32, at_s: f64) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
        // The process name is in parentheses and may itself contain spaces and parentheses.
        let cpu_ticks = cpu_ticks(stat.rsplit_once(')')?.1)?;
        let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let memory_mib = resident.trim().trim_end_matches(" kB").parse::<f64>().ok()? / KIB_PER_MIB;
        Some(ProcessUsage { process_id, at_s, cpu_ticks, memory_mib })
    }

    /// Returns the usage between an earlier reading and this one.
    fn since(&self, last: &ProcessUsage) -> ResourceSample {
        let cores = (self.cpu_ticks - last.cpu_ticks) / TICKS_PER_SECOND / (self.at_s - last.at_s);
        ResourceSample { at_s: self.at_s, cores, memory_mib: self.memory_mib }
    }
}

/// Returns the CPU time of the current process's threads whose names have one of the prefixes, in seconds.
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

/// Returns the sum of user and system time from the fields after the name of a process or thread.
fn cpu_ticks(fields: &str) -> Option<f64> {
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let user: f64 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
    let system: f64 = fields.get(SYSTEM_TIME_FIELD)?.parse().ok()?;
    Some(user + system)
}
