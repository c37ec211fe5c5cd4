//! A caller that writes and reads plain bytes.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// What came back.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Answer {
    /// The value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// Sends one request over a connection of its own, and reads the answer.
pub(crate) fn ask(address: SocketAddr, head: &str, body: &str) -> Answer {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let patience = Some(Duration::from_secs(20));
    stream.set_read_timeout(patience).expect("a time-out");
    let length = body.len();
    let request = format!("{head}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).expect("written");
    let mut bytes = Vec::new();
    // A connection that is reset ends the answer too; what came before counts.
    let _ = stream.read_to_end(&mut bytes);
    read(&bytes)
}

fn read(bytes: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return Answer::default();
    };
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let mut answer = Answer {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        ..Answer::default()
    };
    if let Some(length) = answer.header("content-length") {
        answer.whole = length.parse() == Ok(rest.len());
        rest.clone_into(&mut answer.body);
    } else {
        (answer.body, answer.whole) = chunks(rest);
    }
    answer
}

/// The chunks of a body put together, and whether its end was there.
fn chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((length, after)) = rest.split_once("\r\n") {
        let Ok(length) = usize::from_str_radix(length, 16) else {
            break;
        };
        if length == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..length) else {
            break;
        };
        body.push_str(chunk);
        rest = after.get(length + 2..).unwrap_or_default();
    }
    (body, false)
}
