//! The command line that reads and sends configurations.

mod platform;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;
use std::process::Output;

use platform::Engine;
use platform::Hosts;
use platform::document;
use platform::folder;
use platform::large_document;

/// The routes of a document of some megabytes.
const ROUTES: u32 = 11 * 1_400;

/// Runs `curlewlift configuration` with these arguments, separated by blanks.
fn run(arguments: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewlift"));
    let command = command.arg("configuration").args(arguments.split(' '));
    command.output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Serves one connection for each of `responses`, in turn; `SELF` in a response stands for the address.
fn serve(responses: &[&str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("an address");
    let responses: Vec<_> = responses
        .iter()
        .map(|response| response.replace("SELF", &address.to_string()))
        .collect();
    std::thread::spawn(move || {
        for (response, stream) in responses.iter().zip(listener.incoming()) {
            let mut stream = stream.expect("a connection");
            let mut request = Vec::new();
            let mut buffer = [0; 4_096];
            // Each request ends with its head, or with the closing brace of its body.
            while !request.ends_with(b"\r\n\r\n") && !request.ends_with(b"}") {
                let count = stream.read(&mut buffer).expect("a request");
                request.extend_from_slice(&buffer[..count]);
            }
            let _ = stream.write_all(response.as_bytes());
        }
    });
    address
}

/// What the command line writes and how it ends was undefined where a host redirects, refuses, breaks off or is gone.
#[test]
fn transfers_by_response() {
    const REDIRECT: &str =
        "HTTP/1.1 307 X\r\nLocation: http://SELF/other\r\nContent-Length: 0\r\n\r\n";
    const ELSEWHERE: &str = "HTTP/1.1 307 X\r\nLocation: ftp://x/\r\nContent-Length: 0\r\n\r\n";
    const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext";
    const CUT: &str = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ntext";
    const UNSURE: &str = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    const INVALID: &str =
        "HTTP/1.1 400 X\r\nContent-Length: 28\r\n\r\n{\"code\":6006,\"error\":\"odd\"} ";
    let cases: [(&str, &[&str], i32, &str); 8] = [
        ("whole", &[WHOLE], 0, ""),
        ("two redirects", &[REDIRECT, REDIRECT, WHOLE], 0, ""),
        (
            "three redirects",
            &[REDIRECT; 15],
            4,
            "more than 2 redirects",
        ),
        ("no address", &[ELSEWHERE; 5], 4, "redirects to no address"),
        ("cut off at first", &[CUT, WHOLE], 0, ""),
        ("cut off each time", &[CUT; 5], 4, "7010 not-transferred"),
        ("unsure", &[UNSURE; 5], 4, "status 503"),
        ("refused", &[INVALID], 1, "6006 bad-value: odd"),
    ];
    let folder = folder("transfers_by_response");
    std::fs::create_dir_all(&folder).expect("a folder");
    let document = folder.join("document");
    std::fs::write(&document, "{}").expect("a file");
    let check = |(name, responses, exit_code, message): (&str, &[&str], i32, &str)| {
        let read = run(&format!("get --from {}", serve(responses)));
        let put = format!("put --to {} {}", serve(responses), document.display());
        for (output, expected) in [(read, "text"), (run(&put), "acknowledged\n")] {
            let errors = text(&output.stderr);
            assert_eq!(output.status.code(), Some(exit_code), "{name}: {errors}");
            assert!(errors.contains(message), "{name}: {errors}");
            assert!(!errors.contains('\r'), "no progress without a terminal");
            let expected = if exit_code == 0 { expected } else { "" };
            assert_eq!(text(&output.stdout), expected, "{name}");
        }
    };
    std::thread::scope(|scope| {
        for case in cases {
            let check = &check;
            scope.spawn(move || check(case));
        }
    });
    // Nothing listens there any more.
    let gone = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let gone = gone.expect("an address");
    let read = run(&format!("get --from {gone},{}", serve(&[WHOLE])));
    assert_eq!(text(&read.stdout), "text", "the next host is asked");
    let failed = run(&format!(
        "get --from {gone} --output {}",
        document.display()
    ));
    assert_eq!(failed.status.code(), Some(4));
    let kept = std::fs::read_to_string(&document).expect("a file");
    assert_eq!(kept, "{}", "a failed read leaves the file as it was");
}

/// A large configuration is the same after it was sent and read, also where reads are redirected or compressed.
#[test]
fn large_round_trip() {
    const LINK_BYTES_PER_S: u64 = 1_250_000;
    let engine = Engine::start("i-1");
    let folder = folder("large_round_trip");
    let hosts = Hosts::start_narrow(folder.clone(), &[(&engine, "chat")], 1, LINK_BYTES_PER_S);
    hosts.configure(&document(7).to_string());
    let table = large_document(8, ROUTES).to_string();
    let (sent, read) = (folder.join("sent"), folder.join("read"));
    std::fs::write(&sent, &table).expect("a file");
    let narrow = hosts.narrow_control(3);
    let show = |path: &Path| path.display().to_string();
    let output = run(&format!("put --to {narrow} {}", show(&sent)));
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let output = run(&format!("get --from {narrow} --output {}", show(&read)));
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let read = std::fs::read_to_string(&read).expect("a file");
    assert!(read == table, "{} of {} bytes", read.len(), table.len());
}
