//! Resource usage of this process, as the kernel reports it.

/// Bytes in a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resident memory of this process in bytes.
#[must_use]
pub fn memory_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// CPU time of this process in seconds.
#[must_use]
pub fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<_> = text
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    (field(12).unwrap_or(0.0) + field(13).unwrap_or(0.0)) / TICKS_PER_SECOND
}

/// Bytes received over the loopback interface.
#[must_use]
pub fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"))
        .unwrap_or_default();
    let first = line
        .split(':')
        .nth(1)
        .and_then(|rest| rest.split_whitespace().next());
    first.and_then(|bytes| bytes.parse().ok()).unwrap_or(0.0)
}

/// CPU time in seconds of the threads whose names start with `name`.
#[must_use]
pub fn thread_cpu_seconds(name: &str) -> f64 {
    let tasks = std::fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let read = |file: &str| std::fs::read_to_string(file).unwrap_or_default();
    let paths = tasks.map(|task| task.path().display().to_string());
    let named = paths.filter(|path| read(&format!("{path}/comm")).starts_with(name));
    // The first number of schedstat is the CPU time in nanoseconds.
    let spent = named.map(|path| {
        let text = read(&format!("{path}/schedstat"));
        text.split(' ')
            .next()
            .and_then(|first| first.parse::<f64>().ok())
            .unwrap_or(0.0)
    });
    spent.sum::<f64>() / 1e9
}
