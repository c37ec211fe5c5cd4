//! Discovery of the control replicas. Hosts without a replica answer where replicas may be found, and admit
//! requests as standbys; hosts with a replica announce themselves to the hosts that the settings name.
//!
//! Any host may be among those that the settings name. After a restart of all hosts, only the hosts with a
//! disk know of each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::id;
use futures::FutureExt;

use crate::process;
use crate::rpc;
use crate::rpc::Handler;
use crate::rpc::HubCall;
use crate::rpc::HubReply;
use crate::rpc::Method;
use crate::rpc::RenewCall;

use super::environment::Environment;
use super::local_slots;
use super::node::Node;

/// Interval at which a host with a replica announces itself to the hosts that the settings name.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of an announcement.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Answers calls at `address`, on a host without a replica, on where the control replicas are.
pub(super) fn serve(node: &Rc<Node>, address: SocketAddr) -> Result<(), Refusal> {
    let listener = process::tokio_listener(process::bind(address)?)?;
    let timeline = node.rpc.get_timeline().clone();
    tokio::task::spawn_local(rpc::serve(listener, handler(Rc::clone(node)), timeline));
    Ok(())
}

fn handler(node: Rc<Node>) -> Handler {
    Rc::new(move |method, body| match decode(method, &body) {
        Ok(HubCall::BorrowSlot(request)) => {
            let node = Rc::clone(&node);
            let lent = async move { Ok(rpc::encode(&local_slots::lend(&node, &request).await)) };
            lent.boxed_local()
        }
        Ok(HubCall::FetchTable(request)) => {
            let distributor = Rc::clone(&node.distributor);
            let given = async move {
                let chunk = distributor.chunk(&request).await;
                let reply = chunk.map_or(
                    HubReply::NoTableChunk {
                        holders: Vec::new(),
                    },
                    HubReply::TableChunk,
                );
                Ok(rpc::encode(&reply))
            };
            given.boxed_local()
        }
        call => {
            let answer = call.map(|call| rpc::encode(&answer(&node, call)));
            std::future::ready(answer).boxed_local()
        }
    })
}

/// Decodes a call that a host without a replica answers.
fn decode(method: Method, body: &[u8]) -> Result<HubCall, Refusal> {
    if method != Method::Renew {
        let why = "this host runs no control replica";
        return Err(Refusal::new(Code::WrongMethod, why));
    }
    match rpc::decode(body)? {
        RenewCall::Hub(call) => Ok(call),
        RenewCall::Replica { .. } | RenewCall::Entry(_) => {
            let why = "this host runs no control replica";
            Err(Refusal::new(Code::NotLeader, why))
        }
    }
}

fn answer(node: &Node, call: HubCall) -> HubReply {
    match call {
        HubCall::Introduce(hosts) => {
            node.known_replicas.add(hosts);
            HubReply::Acknowledged
        }
        HubCall::ChargeQuota(charge) => HubReply::QuotaCharged(node.acquire_quota(&charge)),
        HubCall::RelayStreams(records) => {
            node.streams.borrow_mut().relay(&records, node.now());
            node.report_wakeup.notify_one();
            HubReply::Acknowledged
        }
        HubCall::AnnounceStop(notice) => {
            node.stopping_gateways.record(notice, node.now());
            HubReply::Acknowledged
        }
        HubCall::ReturnSlot(number) => {
            node.loans.borrow_mut().end(number);
            HubReply::Acknowledged
        }
        _ => HubReply::NotLeader {
            leader: node.hub.borrow().leader.clone(),
            control: node.known_replicas.get(),
            newest_table: node.newest_table(),
        },
    }
}

/// Announces periodically, from a host with a replica, which hosts run one.
pub(super) async fn announce_replicas(node: Rc<Node>, environment: Rc<Environment>) {
    loop {
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
        let mut hosts = node.known_replicas.get();
        if !hosts.contains(&node.host) {
            hosts.push(node.host.clone());
        }
        let replica_addresses: Vec<_> = hosts
            .iter()
            .filter_map(|host| (environment.locate)(host))
            .collect();
        for seed in (environment.seeds)() {
            if !replica_addresses.contains(&seed) {
                tokio::task::spawn_local(announce(Rc::clone(&node), seed, hosts.clone()));
            }
        }
    }
}

async fn announce(node: Rc<Node>, seed: SocketAddr, hosts: Vec<id::Host>) {
    let call = RenewCall::Hub(HubCall::Introduce(hosts));
    let reply: Result<HubReply, Refusal> = node
        .rpc
        .call(seed, Method::Renew, &call, CALL_TIMEOUT)
        .await;
    match reply {
        Ok(HubReply::NotLeader { control, .. }) => node.known_replicas.add(control),
        Ok(_) => {}
        Err(why) => log::debug!("announcing the control replicas to {seed} failed: {why}"),
    }
}
