//! The memory of a process, according to `/proc`.

/// Returns the largest resident set size of a process since its start, in KiB.
fn peak_memory_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Checks that a process has never used more than this many megabytes.
pub fn assert_memory_below(process: u32, limit_mb: u64) {
    let peak_kib = peak_memory_kib(process);
    println!("peak {peak_kib} KiB");
    assert!(peak_kib < limit_mb * 1_000_000 / 1024, "{peak_kib} KiB, limit {limit_mb} MB");
}
