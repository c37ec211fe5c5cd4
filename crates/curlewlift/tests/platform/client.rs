//! A caller that writes and reads plain HTTP over TCP.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A response.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body is complete.
    pub whole: bool,
}

impl Answer {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// Sends one request over a new connection, and reads the response.
pub(crate) fn send_request(address: SocketAddr, head: &str, body: &str) -> Answer {
    read_to_end(send(address, head, body))
}

/// Sends a request with an id of its own; `play` says what the engines do.
pub(crate) fn request_play(host: SocketAddr, path: &str, play: &str) -> Answer {
    static NEXT_ID: AtomicU32 = AtomicU32::new(0);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let head = format!(
        "POST {path}{id} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: h0-{id}\r\n\
         X-Play: {play}\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer key-ann"
    );
    send_request(host, &head, play)
}

/// Sends the head of a request, which states a length, without its body, and reads the response.
pub(crate) fn send_head(address: SocketAddr, head: &str) -> Answer {
    read_to_end(write(
        address,
        &format!("{head}\r\nConnection: close\r\n\r\n"),
    ))
}

fn read_to_end(mut stream: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    // A reset connection ends the response too; the bytes before the reset are used.
    let is_closed = stream.read_to_end(&mut bytes).is_ok();
    read(&bytes, is_closed)
}

/// Sends one request over a new connection.
fn send(address: SocketAddr, head: &str, body: &str) -> TcpStream {
    let length = body.len();
    let request = format!("{head}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}");
    write(address, &request)
}

/// Writes `request` over a new connection.
fn write(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the connection is accepted");
    let timeout = Some(Duration::from_secs(20));
    stream
        .set_read_timeout(timeout)
        .expect("the timeout is valid");
    stream
        .write_all(request.as_bytes())
        .expect("the request is sent");
    stream
}

/// Sends one request over a new connection, and closes it once the response contains `text`; false if it ends before.
pub(crate) fn send_until(address: SocketAddr, head: &str, body: &str, text: &str) -> bool {
    let mut stream = send(address, head, body);
    let mut response = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return false,
            Ok(count) => response.extend_from_slice(&buffer[..count]),
        }
        if String::from_utf8_lossy(&response).contains(text) {
            return true;
        }
    }
}

/// A connection that is used again while it lives.
#[derive(Default)]
pub(crate) struct KeptConnection {
    open: Option<(SocketAddr, TcpStream)>,
}

impl KeptConnection {
    /// Whether the next request may use the open connection.
    pub(crate) fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// Sends one request, over the open connection if that leads to `address`, and reads the response.
    pub(crate) fn send(&mut self, address: SocketAddr, head: &str, body: &str) -> Answer {
        let kept = self.open.take().filter(|(open, _)| *open == address);
        let stream = kept.map(|(_, stream)| stream);
        let Some(mut stream) = stream.or_else(|| TcpStream::connect(address).ok()) else {
            return Answer::default();
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
        let length = body.len();
        let request = format!("{head}\r\nContent-Length: {length}\r\n\r\n{body}");
        if stream.write_all(request.as_bytes()).is_err() {
            return Answer::default();
        }
        let mut bytes = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            let count = stream.read(&mut buffer).unwrap_or(0);
            bytes.extend_from_slice(&buffer[..count]);
            let answer = read(&bytes, false);
            if answer.whole {
                let is_last = answer.header("connection") == Some("close");
                self.open = (!is_last).then_some((address, stream));
                return answer;
            }
            if count == 0 {
                return answer;
            }
        }
    }
}

fn read(bytes: &[u8], is_closed: bool) -> Answer {
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
    } else if answer.header("transfer-encoding").is_some() {
        (answer.body, answer.whole) = chunks(rest);
    } else {
        answer.whole = is_closed;
        rest.clone_into(&mut answer.body);
    }
    answer
}

/// Joins the chunks of a body; also says whether its end was received.
fn chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((length, tail)) = rest.split_once("\r\n") {
        let Ok(length) = usize::from_str_radix(length, 16) else {
            break;
        };
        if length == 0 {
            return (body, true);
        }
        let Some(chunk) = tail.get(..length) else {
            break;
        };
        body.push_str(chunk);
        rest = tail.get(length + 2..).unwrap_or_default();
    }
    (body, false)
}
