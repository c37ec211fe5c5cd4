//! Handles the calls that a control replica receives from other processes and from operators.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::config::Right;
use curlewlift_core::event::Filter;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::lang;
use curlewlift_core::lang::Statement;
use curlewlift_core::log::Message;
use curlewlift_core::state::Command;
use curlewlift_core::state::Record;
use futures::FutureExt;

use crate::rpc;
use crate::rpc::CommandCall;
use crate::rpc::Handler;
use crate::rpc::Method;
use crate::rpc::RenewCall;
use crate::timeline::Timeline;

use super::replica::State;

type Shared = Rc<RefCell<State>>;

/// The handler for all methods of the RPC schema.
pub(super) fn handler(state: Shared, timeline: Timeline) -> Handler {
    Rc::new(move |method, body| {
        let state = Rc::clone(&state);
        let timeline = timeline.clone();
        async move {
            match method {
                Method::Step => step(&state, &body),
                Method::Renew => renew(&state, &body).await,
                Method::Command => command(&state, &body).await,
                Method::Events => {
                    let filter: Filter = rpc::decode(&body)?;
                    Ok(rpc::encode(&timeline.select(&filter)))
                }
                Method::Claim | Method::Ask => Err(Refusal::new(
                    Code::WrongMethod,
                    "a control replica does not store requests",
                )),
            }
        }
        .boxed_local()
    })
}

/// Passes a message of the replicated log to the replica.
fn step(state: &Shared, body: &[u8]) -> Result<Vec<u8>, Refusal> {
    let (message, address): (Message, SocketAddr) = rpc::decode(body)?;
    state.borrow_mut().receive(message, address);
    Ok(rpc::encode(&()))
}

/// Handles a heartbeat: of a gateway, of a replica that asks to join, or of an entry.
async fn renew(state: &Shared, body: &[u8]) -> Result<Vec<u8>, Refusal> {
    match rpc::decode(body)? {
        RenewCall::Hub(call) => super::hub::respond(state, call)
            .await
            .map(|reply| rpc::encode(&reply)),
        RenewCall::Replica { host, disk } => {
            state.borrow_mut().admit(&host, disk)?;
            Ok(rpc::encode(&()))
        }
        RenewCall::Entry(renewal) => {
            let mut state = state.borrow_mut();
            state.ensure_leading()?;
            let now = state.clock.now();
            let state = &mut *state;
            let Some(grantor) = &mut state.grantor else {
                return Err(Refusal::new(
                    Code::NotLeader,
                    "this replica has just become the leader and is not ready yet",
                ));
            };
            let grant = grantor.renew(&renewal, &state.machine, now)?;
            Ok(rpc::encode(&grant))
        }
    }
}

/// Runs a command of an operator and notes it on the timeline.
async fn command(state: &Shared, body: &[u8]) -> Result<Vec<u8>, Refusal> {
    let call: CommandCall = rpc::decode(body)?;
    let operator = call.operator.clone();
    let number = call.number;
    let line = call.line.clone();
    let result = run(state, call).await;
    let code = result
        .as_ref()
        .map_or_else(|why| why.get_code().number(), |_| 0);
    let detail = format!("operator={operator} number={number} code={code} line={line}");
    state
        .borrow()
        .timeline
        .note(Line::new(Kind::Command).detail(detail));
    result.map(|text| rpc::encode(&text))
}

/// Checks that the operator may run the command, and runs it.
async fn run(state: &Shared, call: CommandCall) -> Result<String, Refusal> {
    let statement = lang::parse(&call.line)?;
    let right = match &statement {
        Statement::Change(_) => Right::Write,
        Statement::Query(_) | Statement::Dry(_) => Right::Read,
    };
    {
        let state = state.borrow();
        state.ensure_leading()?;
        let digest = crate::key::digest(&call.key);
        state.machine.authorize(&call.operator, &digest, right)?;
    }
    match statement {
        Statement::Query(query) => super::query::run(&state.borrow(), &query),
        Statement::Dry(change) => {
            let next = state.borrow().machine.get_snapshot().apply(&change)?;
            Ok(format!("would make revision {}\n", next.revision))
        }
        Statement::Change(_) => change(state, call).await,
    }
}

/// Commits a change, unless the same command was committed before; returns the result.
async fn change(state: &Shared, call: CommandCall) -> Result<String, Refusal> {
    let command = Command {
        operator: call.operator,
        number: call.number,
        line: call.line,
    };
    let recorded = state.borrow().machine.recorded_result(&command);
    let result = if let Some(result) = recorded {
        result
    } else {
        let committed = state.borrow_mut().propose(&Record::Command(command))?;
        let leader_changed =
            "the leader changed; send the command again with the same number to learn its result";
        committed
            .await
            .map_err(|_| Refusal::new(Code::Unreachable, leader_changed))?
    };
    result.map(|revision| format!("revision {revision}\n"))
}
