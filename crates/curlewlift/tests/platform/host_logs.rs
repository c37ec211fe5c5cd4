//! The logs of hosts that run in the process of the tests.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::IpAddr;
use std::path::Path;
use std::sync::LazyLock;
use std::sync::Mutex;
use std::time::Instant;

/// The log files of the hosts, and the time from which their lines count.
static LOGS: LazyLock<HostLogs> = LazyLock::new(|| HostLogs {
    started: Instant::now(),
    files: Mutex::default(),
});

/// Writes each line to the file of the host whose thread logs it.
struct HostLogs {
    started: Instant,
    files: Mutex<BTreeMap<IpAddr, File>>,
}

impl log::Log for HostLogs {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let thread = std::thread::current();
        let name = thread.name().and_then(|name| name.split_once(' '));
        let Some((part, Ok(host))) = name.map(|(part, host)| (part, host.parse())) else {
            return;
        };
        let mut files = self.files.lock().expect("the lock is not poisoned");
        if let Some(file) = files.get_mut(&host) {
            let at = self.started.elapsed().as_millis();
            let (level, message) = (record.level(), record.args());
            writeln!(file, "{at} ms {part} {level} {message}").expect("the log is written");
        }
    }

    fn flush(&self) {}
}

/// Appends what `host` logs from now on to the file at `path`.
pub(crate) fn log_host(host: IpAddr, path: &Path) {
    // Fails for each host but the first of this process.
    let _ = log::set_logger(&*LOGS);
    log::set_max_level(log::LevelFilter::Info);
    let file = File::options().create(true).append(true).open(path);
    let file = file.expect("the log is opened");
    let mut files = LOGS.files.lock().expect("the lock is not poisoned");
    files.insert(host, file);
}
