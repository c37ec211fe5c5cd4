//! Serves calls from other processes.

use std::rc::Rc;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Stamp;
use curlewlift_wire::node_capnp::Method;
use curlewlift_wire::node_capnp::node;
use futures::AsyncReadExt;
use futures::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::timeline::Timeline;

/// Handles a call: takes the encoded request and returns the encoded reply.
pub(crate) type Handler =
    Rc<dyn Fn(Method, Vec<u8>) -> LocalBoxFuture<'static, Result<Vec<u8>, Refusal>>>;

/// The server side of one connection.
struct Node {
    handler: Handler,
    timeline: Timeline,
}

impl node::Server for Node {
    async fn call(
        self: Rc<Self>,
        params: node::CallParams,
        mut results: node::CallResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        self.timeline.observe(Stamp(params.get_stamp()));
        let body = params.get_body()?.to_vec();
        let result = (self.handler)(params.get_method()?, body).await;
        let mut reply = results.get().init_reply();
        reply.set_stamp(self.timeline.stamp().0);
        match result {
            Ok(body) => reply.set_body(&body),
            Err(refusal) => {
                reply.set_code(refusal.get_code().number());
                reply.set_body(refusal.get_detail().as_bytes());
            }
        }
        Ok(())
    }
}

/// Serves the connections of `listener` until the local task set ends.
pub(crate) async fn serve(listener: TcpListener, handler: Handler, timeline: Timeline) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            continue;
        };
        let served = serve_connection(stream, Rc::clone(&handler), timeline.clone());
        tokio::task::spawn_local(served);
    }
}

/// Serves one connection until its peer closes it.
pub(super) async fn serve_connection(stream: TcpStream, handler: Handler, timeline: Timeline) {
    crate::process::configure_connection(&stream);
    let (reader, writer) = stream.compat().split();
    let network = VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        Side::Server,
        capnp::message::ReaderOptions::default(),
    );
    let client: node::Client = capnp_rpc::new_client(Node { handler, timeline });
    let _ = RpcSystem::new(Box::new(network), Some(client.client)).await;
}

/// Encodes a value by position, as the bodies of calls carry it.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes what [`encode`] wrote.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Refusal> {
    postcard::from_bytes(bytes).map_err(|error| {
        Refusal::new(
            Code::BadJson,
            format!("the call cannot be decoded: {error}"),
        )
    })
}
