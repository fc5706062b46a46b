//! The memory of a process, according to `/proc`.

/// Returns the largest resident set size of a process since its start, in KiB.
pub fn peak_memory_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}
