//! Callers that take nothing of a response.

use std::io;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::CallerStream;

const MAX_STALL: Duration = Duration::from_millis(200);

/// More bytes than the kernel holds for a connection.
const RESPONSE_BYTES: usize = 64 << 20;

/// A caller that takes nothing would hold its connection forever; one that takes a little now and then must not be cut off.
#[tokio::test]
async fn max_stall() {
    for is_reading in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mut caller = TcpStream::connect(address).await.expect("accepted");
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut stream = CallerStream::new(stream, MAX_STALL);
        let read = async {
            let until = Instant::now() + MAX_STALL * 5;
            let mut buffer = vec![0; 4 << 20];
            while is_reading && Instant::now() < until {
                let _ = caller.read(&mut buffer).await;
                tokio::time::sleep(MAX_STALL / 8).await;
            }
            while is_reading && caller.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
        };
        let response = vec![0; RESPONSE_BYTES];
        let write = async {
            let written = stream.write_all(&response).await;
            drop(stream);
            written
        };
        let (written, ()) = tokio::join!(write, read);
        let failure = written.err().map(|error| error.kind());
        let expected = (!is_reading).then_some(io::ErrorKind::TimedOut);
        assert_eq!(failure, expected, "reading: {is_reading}");
    }
}
