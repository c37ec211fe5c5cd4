//! The `timeline` subcommand: prints the events of several processes in causal order.

use std::fmt::Display;
use std::net::SocketAddr;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Filter;
use curlewlift_core::event::Line;
use curlewlift_core::id;

use crate::settings::Timeline;

pub(super) fn run(args: &Timeline) -> Result<(), Refusal> {
    let addresses: Result<Vec<SocketAddr>, _> = args.from.split(',').map(str::parse).collect();
    let addresses = addresses.map_err(|why| bad_setting("from", &args.from, &why))?;
    let filter = parse_filter(args)?;
    let (lines, unreachable) = crate::collect(&addresses, &filter)?;
    match args.format.as_deref() {
        None | Some("text") => print_text(&lines),
        Some("json") => print_json(&lines),
        Some("svg") => print!("{}", crate::timeline::draw(&lines)),
        Some(other) => return Err(bad_setting("format", other, &"give text, json or svg")),
    }
    for address in unreachable {
        eprintln!("curlewlift: warning: {address} did not respond; its events are missing");
    }
    Ok(())
}

fn bad_setting(name: &str, value: &str, why: &dyn Display) -> Refusal {
    Refusal::new(Code::BadSetting, format!("--{name}: `{value}`: {why}"))
}

fn parse_filter(args: &Timeline) -> Result<Filter, Refusal> {
    let customer: Option<id::Customer> = match &args.customer {
        Some(text) => Some(
            text.parse()
                .map_err(|why| bad_setting("customer", text, &why))?,
        ),
        None => None,
    };
    let key = match (&args.key, &customer) {
        (None, _) => None,
        (Some(text), Some(customer)) => Some(id::Key::new(customer, text)),
        (Some(text), None) => {
            return Err(bad_setting(
                "key",
                text,
                &"a key belongs to a customer: give --customer too",
            ));
        }
    };
    let server = match &args.server {
        Some(text) => Some(
            text.parse()
                .map_err(|why| bad_setting("server", text, &why))?,
        ),
        None => None,
    };
    Ok(Filter {
        // The key already identifies the customer, and some events of a request carry only the key.
        customer: if key.is_some() { None } else { customer },
        key,
        server,
        host: args.host.clone(),
        number: args.number,
        since: None,
    })
}

fn print_text(lines: &[Line]) {
    for line in lines {
        println!("{line}");
    }
}

fn print_json(lines: &[Line]) {
    for line in lines {
        println!("{}", serde_json::to_string(line).unwrap_or_default());
    }
}
