//! What the machine tells of itself and of this process.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Ticks a second in which the system counts processor time, on every common machine.
const TICKS: u64 = 100;

/// Cores and memory.
pub fn describe() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = memory.lines().next().unwrap_or_default();
    let kib: u64 = total.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
    let busy = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let busy = busy.split(' ').next().unwrap_or_default().to_string();
    format!("{cores} cores, {} GiB, load average {busy} at the start", kib >> 20)
}

/// This process's resident memory in bytes.
pub fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("a Linux machine");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a resident size");
    line.split_whitespace().nth(1).and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) << 10
}

/// Where the system counts the calling thread's time.
pub fn this_thread() -> PathBuf {
    let link = fs::read_link("/proc/thread-self").expect("a Linux machine");
    Path::new("/proc").join(link).join("stat")
}

/// Processor time of a thread, in user mode and in the system.
pub fn time(thread: &Path) -> Duration {
    let stat = fs::read_to_string(thread).expect("the thread lives");
    let after = stat.rsplit(") ").next().unwrap_or_default();
    // Counted from the state, which follows the name: user time and system time.
    let ticks = after.split(' ').skip(11).take(2).filter_map(|n| n.parse::<u64>().ok());
    Duration::from_millis(ticks.sum::<u64>() * 1_000 / TICKS)
}
