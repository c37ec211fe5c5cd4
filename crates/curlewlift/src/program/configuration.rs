//! The `configuration` subcommand: reads and sends the configuration of gateways on the platform.

use std::cell::RefCell;
use std::ffi::OsString;
use std::io::IsTerminal;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Instant;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::state::MAX_DOCUMENT_BYTES;

use crate::platform::Client;
use crate::platform::Transfer;
use crate::settings::Configuration;
use crate::settings::ConfigurationAction;
use crate::settings::GetConfiguration;
use crate::settings::PutConfiguration;

use super::progress::Progress;

/// The name of standard input as a file.
const STANDARD_INPUT: &str = "-";

pub(super) fn run(args: &Configuration) -> Result<(), Refusal> {
    match &args.action {
        ConfigurationAction::Get(args) => get(args),
        ConfigurationAction::Put(args) => put(args),
    }
}

fn get(args: &GetConfiguration) -> Result<(), Refusal> {
    let hosts = addresses("from", &args.from)?;
    let text = with_progress("received", hosts, Client::read)?;
    let Some(path) = &args.output else {
        let mut output = std::io::stdout().lock();
        let written = output.write_all(text.as_bytes());
        let written = written.and_then(|()| output.flush());
        return written.map_err(|why| not_written("standard output", &why));
    };
    replace(Path::new(path), &text).map_err(|why| not_written(path, &why))
}

fn put(args: &PutConfiguration) -> Result<(), Refusal> {
    let hosts = addresses("to", &args.to)?;
    let document = read_file(&args.file)
        .map_err(|why| Refusal::new(Code::BadSetting, format!("FILE: `{}`: {why}", args.file)))?;
    if document.len() > MAX_DOCUMENT_BYTES {
        let why = format!("a configuration may have {MAX_DOCUMENT_BYTES} bytes");
        return Err(Refusal::new(Code::TooLarge, why));
    }
    with_progress("sent", hosts, |client| client.publish(document))?;
    println!("acknowledged");
    Ok(())
}

/// Runs a transfer; its progress is shown if standard error is a terminal.
fn with_progress<T>(
    verb: &'static str,
    hosts: Vec<SocketAddr>,
    transfer: impl FnOnce(&Client) -> Result<T, Refusal>,
) -> Result<T, Refusal> {
    if !std::io::stderr().is_terminal() {
        return transfer(&Client::new(hosts, |_| {}));
    }
    let progress = Rc::new(RefCell::new(Progress::new(verb, Instant::now())));
    let shown = Rc::clone(&progress);
    let client = Client::new(hosts, move |transfer: Transfer| {
        if let Some(text) = shown.borrow_mut().update(transfer, Instant::now()) {
            eprint!("{text}");
        }
    });
    let result = transfer(&client);
    eprint!("{}", progress.borrow_mut().finish());
    result
}

fn addresses(flag: &str, text: &str) -> Result<Vec<SocketAddr>, Refusal> {
    let addresses: Result<_, _> = text.split(',').map(str::parse).collect();
    addresses.map_err(|why: std::net::AddrParseError| {
        Refusal::new(Code::BadSetting, format!("--{flag}: `{text}`: {why}"))
    })
}

/// Reads a file, but little more of it than a configuration may have.
fn read_file(path: &str) -> std::io::Result<Vec<u8>> {
    let mut document = Vec::new();
    let limit = MAX_DOCUMENT_BYTES as u64 + 1;
    if path == STANDARD_INPUT {
        std::io::stdin().take(limit).read_to_end(&mut document)?;
    } else {
        let file = std::fs::File::open(path)?;
        file.take(limit).read_to_end(&mut document)?;
    }
    Ok(document)
}

/// Replaces a file as a whole.
fn replace(path: &Path, text: &str) -> std::io::Result<()> {
    let mut partial = OsString::from(path);
    partial.push(".partial");
    std::fs::write(&partial, text)?;
    std::fs::rename(&partial, path)
}

fn not_written(name: &str, why: &std::io::Error) -> Refusal {
    Refusal::new(Code::BadSetting, format!("{name} cannot be written: {why}"))
}
