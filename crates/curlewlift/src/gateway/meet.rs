//! Hosts without a replica tell others where control is, and let requests in as deputies; hosts with one
//! tell them.
//!
//! The settings name some hosts to begin with, and any host may be among them. After a restart of all
//! only the hosts with a disk know of each other.

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

use super::node::Node;
use super::surroundings::Surroundings;

/// Between two times that a host with a replica says so to the hosts that the settings name.
const EVERY: Duration = Duration::from_millis(500);

/// How long one of them may take to answer.
const CALL: Duration = Duration::from_millis(400);

/// Answers where control may be found, at `address`, on a host without a replica.
pub(super) fn serve(node: &Rc<Node>, address: SocketAddr) -> Result<(), Refusal> {
    let listener = process::listener(process::bind(address)?)?;
    let timeline = node.rpc.get_timeline().clone();
    tokio::task::spawn_local(rpc::serve(listener, handler(Rc::clone(node)), timeline));
    Ok(())
}

fn handler(node: Rc<Node>) -> Handler {
    Rc::new(move |method, body| {
        let answer = answer(&node, method, &body);
        std::future::ready(answer).boxed_local()
    })
}

fn answer(node: &Node, method: Method, body: &[u8]) -> Result<Vec<u8>, Refusal> {
    if method != Method::Renew {
        let why = "this host keeps no control replica";
        return Err(Refusal::new(Code::WrongMethod, why));
    }
    let reply = match rpc::decode(body)? {
        RenewCall::Hub(HubCall::Introduce(hosts)) => {
            node.known.add(hosts);
            HubReply::Acknowledged
        }
        RenewCall::Hub(HubCall::ChargeQuota(charge)) => HubReply::QuotaCharged(node.draw(&charge)),
        RenewCall::Hub(_) => HubReply::NotLeader {
            leader: node.hub.borrow().leader.clone(),
            control: node.known.get(),
        },
        RenewCall::Replica { .. } | RenewCall::Entry(_) => {
            let why = "this host keeps no control replica";
            return Err(Refusal::new(Code::NotLeader, why));
        }
    };
    Ok(rpc::encode(&reply))
}

/// Says over and over, from a host with a replica, which hosts keep one.
pub(super) async fn introduce(node: Rc<Node>, around: Rc<Surroundings>) {
    loop {
        tokio::time::sleep(EVERY).await;
        let mut hosts = node.known.get();
        if !hosts.contains(&node.host) {
            hosts.push(node.host.clone());
        }
        let kept: Vec<_> = hosts
            .iter()
            .filter_map(|host| (around.locate)(host))
            .collect();
        for seed in (around.seeds)() {
            if !kept.contains(&seed) {
                tokio::task::spawn_local(tell(Rc::clone(&node), seed, hosts.clone()));
            }
        }
    }
}

async fn tell(node: Rc<Node>, seed: SocketAddr, hosts: Vec<id::Host>) {
    let call = RenewCall::Hub(HubCall::Introduce(hosts));
    let told: Result<HubReply, Refusal> = node.rpc.call(seed, Method::Renew, &call, CALL).await;
    match told {
        Ok(HubReply::NotLeader { control, .. }) => node.known.add(control),
        Ok(_) => {}
        Err(why) => log::debug!("{seed} was not told where control is: {why}"),
    }
}
