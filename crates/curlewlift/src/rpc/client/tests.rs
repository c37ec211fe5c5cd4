//! When connections between processes are closed.

use std::cell::Cell;
use std::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use futures::FutureExt;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

use crate::rpc::Handler;
use crate::rpc::server;

use super::Client;
use super::Method;
use super::Timeline;

/// Timeout of a call that gets no reply.
const SHORT: Duration = Duration::from_millis(100);

/// Time limit for what should happen at once.
const LONG: Duration = Duration::from_secs(20);

async fn call(client: &Client, address: SocketAddr, timeout: Duration) -> Result<u8, Refusal> {
    client.call(address, Method::Renew, &0_u8, timeout).await
}

async fn accept(listener: &TcpListener) -> TcpStream {
    let accepted = tokio::time::timeout(LONG, listener.accept()).await;
    accepted
        .expect("a connection is opened")
        .expect("accepted")
        .0
}

/// Waits until the client has closed a connection.
async fn assert_closed(mut stream: TcpStream, what: &str) {
    let end = async { while matches!(stream.read(&mut [0; 1 << 10]).await, Ok(1..)) {} };
    let closed = tokio::time::timeout(LONG, end).await;
    assert!(closed.is_ok(), "{what}: the connection stays open");
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A process that is suspended costs its callers no descriptors: connections on which calls time out are closed, also those
/// that were opened at the same moment.
#[tokio::test]
async fn timed_out() {
    let calls = async {
        let (listener, address) = listen().await;
        let client = Client::new(Timeline::new("test"));
        for concurrent in [1, 1, 3] {
            let calls = (0..concurrent).map(|_| call(&client, address, SHORT));
            let results = futures::future::join_all(calls).await;
            for result in results {
                let code = result.expect_err("nobody replies").get_code();
                assert_eq!(code, Code::Unreachable);
            }
            let mut opened = vec![accept(&listener).await];
            while let Ok(Ok((stream, _))) = tokio::time::timeout(SHORT, listener.accept()).await {
                opened.push(stream);
            }
            for stream in opened {
                assert_closed(stream, &format!("{concurrent} calls")).await;
            }
        }
    };
    LocalSet::new().run_until(calls).await;
}

/// The end of an old connection leaves the newer one to the same address in use, and a cancelled call closes none.
#[tokio::test]
async fn reused() {
    let calls = async {
        let (listener, address) = listen().await;
        let client = Client::new(Timeline::new("test"));
        let unanswered = call(&client, address, SHORT).await;
        assert!(unanswered.is_err(), "{unanswered:?}");
        let old = accept(&listener).await;
        let opened = Rc::new(Cell::new(0));
        let count = Rc::clone(&opened);
        let answers = Rc::new(Cell::new(true));
        let is_answered = Rc::clone(&answers);
        let handler: Handler = Rc::new(move |_, body| {
            if is_answered.get() {
                future::ready(Ok(body)).boxed_local()
            } else {
                future::pending().boxed_local()
            }
        });
        tokio::task::spawn_local(async move {
            loop {
                let stream = accept(&listener).await;
                count.set(count.get() + 1);
                let timeline = Timeline::new("server");
                let served = server::serve_connection(stream, Rc::clone(&handler), timeline);
                tokio::task::spawn_local(served);
            }
        });
        assert_eq!(call(&client, address, LONG).await, Ok(0));
        assert_closed(old, "an old connection").await;
        assert_eq!(call(&client, address, LONG).await, Ok(0));
        answers.set(false);
        let cancelled = tokio::time::timeout(SHORT, call(&client, address, LONG)).await;
        assert!(cancelled.is_err(), "{cancelled:?}");
        answers.set(true);
        assert_eq!(call(&client, address, LONG).await, Ok(0));
        assert_eq!(opened.get(), 1, "one connection serves all calls");
    };
    LocalSet::new().run_until(calls).await;
}

/// A process keeps no connection whose peer has closed it, not even for an unanswered call.
#[tokio::test]
async fn peer_gone() {
    let calls = async {
        for is_called in [false, true] {
            let (listener, address) = listen().await;
            let client = Client::new(Timeline::new("test"));
            if is_called {
                let unanswered = call(&client, address, SHORT).await;
                assert!(unanswered.is_err(), "{unanswered:?}");
            } else {
                drop(TcpStream::connect(address).await.expect("accepted"));
            }
            let handler: Handler = Rc::new(|_, _| future::pending().boxed_local());
            let stream = accept(&listener).await;
            let served = server::serve_connection(stream, handler, Timeline::new("server"));
            let ended = tokio::time::timeout(LONG, served).await;
            assert!(ended.is_ok(), "called: {is_called}: the connection is kept");
        }
    };
    LocalSet::new().run_until(calls).await;
}
