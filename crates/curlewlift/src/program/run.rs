//! Parses the command line and runs the subcommand that it names.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::ExitCode;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use error_stack::Frame;
use error_stack::Report;
use error_stack::ResultExt;

use crate::process::Process;
use crate::settings;
use crate::settings::Args;
use crate::settings::Command;
use crate::settings::Environment;

use super::configuration;
use super::log_writer;
use super::losses;
use super::operate;
use super::telemetry;
use super::timeline;

/// Exit code if a command was refused.
const EXIT_REFUSED: u8 = 1;

/// Exit code if a setting is invalid.
const EXIT_BAD_SETTING: u8 = 2;

/// Exit code if a process failed.
const EXIT_FAILED: u8 = 3;

/// Exit code if no host completed the transfer of a document.
const EXIT_NOT_TRANSFERRED: u8 = 4;

/// Runs the program with this process's arguments and environment.
///
/// The exit code is 0 on success, 1 if a command was refused, 2 if a setting is invalid, 3 if a
/// process failed and 4 if a document was not transferred; docs/CODES.md lists them.
#[must_use]
pub fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = run(args, &Environment::from_process());
    log_writer::finish();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            let refusal = report.current_context();
            eprintln!("curlewlift: error {refusal}");
            for activity in report.frames().filter_map(Frame::downcast_ref::<&str>) {
                eprintln!("  while {activity}");
            }
            if refusal.get_code() == Code::BadSetting {
                eprintln!("usage: curlewlift [options] COMMAND; `curlewlift --help` explains");
            }
            ExitCode::from(exit_code(refusal.get_code()))
        }
    }
}

fn exit_code(code: Code) -> u8 {
    match code {
        Code::BadSetting => EXIT_BAD_SETTING,
        Code::Damaged | Code::DiskFailed | Code::Internal => EXIT_FAILED,
        Code::NotTransferred => EXIT_NOT_TRANSFERRED,
        _ => EXIT_REFUSED,
    }
}

fn run(args: Args, environment: &Environment) -> Result<(), Report<Refusal>> {
    settings::reject_unknown_variables(environment).attach("checking the environment variables")?;
    let common = settings::Common::new(&args, environment);
    let common = common.attach("reading the common settings")?;
    telemetry::start(common.level, common.json).attach("starting the log")?;
    match args.command {
        Command::Entry(args) => entry(&args, environment, &common).attach("running an entry"),
        Command::Control(args) => {
            control(&args, environment, &common).attach("running a control replica")
        }
        Command::Platform(args) => {
            platform(&args, environment, &common).attach("running a gateway on the platform")
        }
        Command::Operate(args) => operate::run(&args, environment).attach("running a command"),
        Command::Configuration(args) => {
            configuration::run(&args).attach("transferring a configuration")
        }
        Command::Timeline(args) => timeline::run(&args).attach("collecting the timeline"),
        Command::Losses(args) => losses::run(&args).attach("counting losses"),
        Command::Check(args) => check(&args.role, environment).attach("checking settings"),
        Command::Digest(_) => digest().attach("reading a key"),
        Command::Version(_) => {
            println!("curlewlift {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn entry(
    args: &settings::EntryArgs,
    environment: &Environment,
    common: &settings::Common,
) -> Result<(), Refusal> {
    let entry = settings::Entry::new(args, environment)?;
    telemetry::serve_metrics(common.metrics)?;
    wait(start_entry(entry)?)
}

fn control(
    args: &settings::ControlArgs,
    environment: &Environment,
    common: &settings::Common,
) -> Result<(), Refusal> {
    let control = settings::Control::new(args, environment)?;
    telemetry::serve_metrics(common.metrics)?;
    wait(start_control(control)?)
}

fn platform(
    args: &settings::Platform,
    environment: &Environment,
    common: &settings::Common,
) -> Result<(), Refusal> {
    let path = args.path(environment)?;
    let scheduling = args.scheduling(environment)?;
    let platform = crate::platform::Platform::new(path)?.scheduling(scheduling);
    telemetry::serve_metrics(common.metrics)?;
    wait(platform.start()?)
}

fn bind(name: &str, address: SocketAddr) -> Result<TcpListener, Refusal> {
    TcpListener::bind(address).map_err(|why| {
        Refusal::new(
            Code::BadSetting,
            format!("--{name}: cannot listen at {address}: {why}"),
        )
    })
}

fn start_entry(entry: settings::Entry) -> Result<Process, Refusal> {
    let rpc = bind("rpc", entry.rpc)?;
    let http = bind("http", entry.http)?;
    crate::Entry::new(entry.host, entry.hall, rpc, http)
        .control(entry.control)
        .lease(entry.lease)
        .keep(entry.keep)
        .start()
}

fn start_control(control: settings::Control) -> Result<Process, Refusal> {
    let listener = bind("rpc", control.rpc)?;
    crate::Control::new(control.host, listener)
        .data(control.data)
        .found(control.found)
        .peers(control.peers)
        .platform(control.platform)
        .lease(control.lease)
        .start()
}

/// Waits until the process has ended; a termination signal asks it to stop.
fn wait(process: Process) -> Result<(), Refusal> {
    let handle = process.handle();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let Ok(runtime) = runtime else { return };
        runtime.block_on(async move {
            stop_signal().await;
            handle.stop();
        });
    });
    process.wait()
}

/// Waits for SIGTERM or Ctrl-C; logs a reload event on each SIGHUP.
async fn stop_signal() {
    use tokio::signal::unix::SignalKind;
    use tokio::signal::unix::signal;
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    // Settings are read when needed, so SIGHUP has nothing to do, but it must not end the process.
    let hangup = signal(SignalKind::hangup());
    tokio::spawn(async move {
        let Ok(mut hangup) = hangup else { return };
        while hangup.recv().await.is_some() {
            crate::gateway::note(Kind::Reloaded).write();
        }
    });
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn check(role: &str, environment: &Environment) -> Result<(), Refusal> {
    match role {
        "entry" => {
            let settings = settings::Entry::new(&settings::EntryArgs::default(), environment)?;
            println!("{settings:#?}");
        }
        "control" => {
            let settings = settings::Control::new(&settings::ControlArgs::default(), environment)?;
            println!("{settings:#?}");
        }
        "platform" => {
            let args = settings::Platform::default();
            let path = args.path(environment)?;
            println!("{:#?}", crate::platform::Settings::read(&path)?);
            println!("scheduling: {}", args.scheduling(environment)?);
        }
        "operate" => {
            let settings = settings::Operator::new(&settings::Operate::default(), environment)?;
            println!("operator {} asks {:?}", settings.name, settings.control);
        }
        _ => {
            let why = format!("unknown role `{role}`: give entry, control, platform or operate");
            return Err(Refusal::new(Code::BadSetting, why));
        }
    }
    Ok(())
}

fn digest() -> Result<(), Refusal> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key).map_err(|why| {
        Refusal::new(
            Code::BadSetting,
            format!("cannot read standard input: {why}"),
        )
    })?;
    println!("{}", crate::digest(key.trim()));
    Ok(())
}
