//! Waits for a request's turn at the owner of its service, and reports to it.

use std::sync::Arc;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::event::Kind;
use curlewlift_core::event::Line;
use curlewlift_core::id;
use curlewlift_core::queue;
use curlewlift_core::queue::Report;
use curlewlift_core::unit::Tokens;
use curlewlift_core::view::Roster;

use crate::rpc::Method;
use crate::rpc::QueueCall;
use crate::rpc::ServerGrant;

use super::node::Node;
use super::node::Word;
use super::node::lock;
use super::owner;
use super::request::Request;

/// Between two attempts, while the owner changes.
const PAUSE: Duration = Duration::from_millis(25);

/// Added to a request's time left, for the owner's own refusal to arrive.
const MARGIN: Duration = Duration::from_millis(200);

/// How long a report may take.
const REPORT: Duration = Duration::from_secs(1);

/// A request's turn: the server is counted as busy with it until this goes.
pub(super) struct Turn {
    node: Arc<Node>,
    request: Arc<Request>,
    pub(super) server: id::Server,
    ended: bool,
}

impl Turn {
    /// Tells the owner how it goes.
    pub(super) fn report(&self, report: Report) {
        tell(&self.node, &self.request, report);
    }

    /// Tells the owner that it has ended.
    pub(super) fn end(mut self, output: Tokens, cached: Option<Tokens>) {
        self.ended = true;
        self.leave(Report::Ended { output, cached });
    }

    fn leave(&self, report: Report) {
        lock(&self.node.running).remove(&self.request.ticket);
        tell(&self.node, &self.request, report);
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if !self.ended {
            let output = Tokens(0);
            self.leave(Report::Ended {
                output,
                cached: None,
            });
        }
    }
}

/// A place in a queue, given up when it goes without a turn.
struct Place<'a> {
    node: &'a Arc<Node>,
    request: &'a Arc<Request>,
    taken: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        let service = self.request.service.clone();
        let host = self.node.member.host.clone();
        let ticket = self.request.ticket;
        to_owner(
            self.node,
            &self.request.service,
            QueueCall::Cancel {
                service,
                ticket,
                host,
            },
        );
    }
}

/// Waits for the request's turn; the `attempt`-th after the first.
pub(super) async fn turn(
    node: &Arc<Node>,
    request: &Arc<Request>,
    attempt: u8,
) -> Result<Turn, Refusal> {
    let mut place = Place {
        node,
        request,
        taken: false,
    };
    loop {
        if node.now() >= request.deadline {
            return Err(Refusal::new(
                Code::Expired,
                "the deadline passed while it waited",
            ));
        }
        let word = match node.act().await {
            Ok(roster) => ask_once(node, request, attempt, &roster).await,
            Err(refusal) => Err(refusal),
        };
        match word {
            Ok(server) => {
                place.taken = true;
                let line = Line::new(Kind::Granted).key(request.key).server(&server);
                node.timeline.note(line.customer(&request.customer));
                let running = (Arc::clone(request), server.clone());
                lock(&node.running).insert(request.ticket, running);
                return Ok(Turn {
                    node: Arc::clone(node),
                    request: Arc::clone(request),
                    server,
                    ended: false,
                });
            }
            Err(why) if is_passing(why.get_code()) => tokio::time::sleep(PAUSE).await,
            Err(why) => {
                place.taken = true;
                return Err(why);
            }
        }
    }
}

/// Whether the owner only has to be asked again: it is changing, or its view is.
fn is_passing(code: Code) -> bool {
    matches!(code, Code::WrongView | Code::Unreachable)
}

async fn ask_once(node: &Arc<Node>, request: &Arc<Request>, attempt: u8, roster: &Roster) -> Word {
    let no_owner = || Refusal::new(Code::WrongView, "no entry owns the service");
    let owner = roster.owner(&request.service).ok_or_else(no_owner)?;
    let call = question(node, request, attempt, roster, None);
    if owner.host == node.member.host {
        let wait = owner::ask(node, call)?;
        let gone = || Refusal::new(Code::WrongView, "the queue has gone");
        return wait.await.map_err(|_| gone())?;
    }
    let left = request.deadline.since(node.now()) + MARGIN;
    let asked: ServerGrant = node.rpc.call(owner.rpc, Method::Ask, &call, left).await?;
    Ok(asked.server)
}

fn question(
    node: &Node,
    request: &Request,
    attempt: u8,
    roster: &Roster,
    running: Option<id::Server>,
) -> QueueCall {
    QueueCall::Enqueue {
        view: roster.number,
        service: request.service.clone(),
        key: request.key,
        ticket: request.ticket,
        host: node.member.host.clone(),
        customer: request.customer.clone(),
        prompt: request.prompt,
        output: request.output,
        prefixes: request.prefixes.clone(),
        attempt,
        time_left: request.deadline.since(node.now()),
        running,
    }
}

fn tell(node: &Arc<Node>, request: &Request, report: Report) {
    let service = request.service.clone();
    let host = node.member.host.clone();
    let ticket = request.ticket;
    let call = QueueCall::Report {
        service,
        ticket,
        host,
        report,
    };
    to_owner(node, &request.service, call);
}

/// Sends a word that needs no answer to the owner of `service`.
fn to_owner(node: &Arc<Node>, service: &id::Service, call: QueueCall) {
    let Ok(roster) = node.acting() else { return };
    let Some(owner) = roster.owner(service) else {
        return;
    };
    if owner.host == node.member.host {
        take(node, call);
        return;
    }
    let node = Arc::clone(node);
    let address = owner.rpc;
    tokio::spawn(async move {
        let _: Result<(), Refusal> = node.rpc.call(address, Method::Ask, &call, REPORT).await;
    });
}

/// Takes in a word that needs no answer, as the owner.
pub(super) fn take(node: &Node, call: QueueCall) {
    match call {
        QueueCall::Report {
            service,
            ticket,
            host,
            report,
        } => {
            let ticket = queue::Ticket {
                host,
                number: ticket,
            };
            owner::report(node, &service, &ticket, report);
        }
        QueueCall::Cancel {
            service,
            ticket,
            host,
        } => {
            let ticket = queue::Ticket {
                host,
                number: ticket,
            };
            owner::cancel(node, &service, &ticket);
        }
        QueueCall::Enqueue { .. } => {
            debug_assert!(false, "a request is put into a queue by `owner::ask`");
        }
    }
}

/// Tells the owners of a new view what this entry has running with them.
pub(super) fn resume(node: &Arc<Node>, roster: &Roster) {
    let running: Vec<_> = lock(&node.running).values().cloned().collect();
    for (request, server) in running {
        let Some(owner) = roster.owner(&request.service) else {
            continue;
        };
        let call = question(node, &request, 0, roster, Some(server));
        if owner.host == node.member.host {
            let _ = owner::ask(node, call);
            continue;
        }
        let node = Arc::clone(node);
        let address = owner.rpc;
        tokio::spawn(async move {
            let _: Result<ServerGrant, Refusal> =
                node.rpc.call(address, Method::Ask, &call, REPORT).await;
        });
    }
}
