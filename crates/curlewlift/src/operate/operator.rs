//! Sends operators' commands to the control replicas.

use std::net::SocketAddr;
use std::time::Duration;

use curlewlift_core::code::Code;
use curlewlift_core::code::Refusal;
use curlewlift_core::id;
use tokio::task::LocalSet;

use crate::rpc;
use crate::rpc::CommandCall;
use crate::rpc::Method;
use crate::timeline::Timeline;

/// How long one replica may take to respond.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// How long to look for a leader.
const LEADER_SEARCH_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause between two rounds over all replicas.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// A client that runs an operator's commands on the control replicas.
///
/// # Examples
///
/// ```no_run
/// let operator = curlewlift::Operator::new("root".parse()?, "", vec!["127.0.0.1:7001".parse()?]);
/// print!("{}", operator.run(1, "create tier live rank=0")?);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct Operator {
    name: id::Operator,
    key: String,
    control: Vec<SocketAddr>,
}

impl Operator {
    /// Creates a client for the operator `name` with its key and the replicas' addresses.
    #[must_use]
    pub fn new(name: id::Operator, key: &str, control: Vec<SocketAddr>) -> Self {
        Self {
            name,
            key: key.to_owned(),
            control,
        }
    }

    /// Sends the command `line` with its number to the leading replica, and returns the response.
    ///
    /// The same number with the same line is the same command, however often it is sent: it is
    /// applied only once. Must not be called from inside an asynchronous runtime.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the command, or [`Code::Unreachable`] if no replica responded. The
    /// command may have been accepted then: run it again with the same number to learn its result.
    pub fn run(&self, number: u64, line: &str) -> Result<String, Refusal> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|why| Refusal::new(Code::Internal, why.to_string()))?;
        LocalSet::new().block_on(&runtime, self.send(number, line))
    }

    /// Tries the replicas in rounds until the leader responds or the search times out.
    async fn send(&self, number: u64, line: &str) -> Result<String, Refusal> {
        let client = rpc::Client::new(Timeline::new(self.name.as_str()));
        let call = CommandCall {
            operator: self.name.clone(),
            key: self.key.clone(),
            number,
            line: line.to_owned(),
        };
        let deadline = tokio::time::Instant::now() + LEADER_SEARCH_TIMEOUT;
        loop {
            let mut last_refusal =
                Refusal::new(Code::Unreachable, "no control replica is configured");
            for address in &self.control {
                match client
                    .call(*address, Method::Command, &call, CALL_TIMEOUT)
                    .await
                {
                    Err(why) if matches!(why.get_code(), Code::NotLeader | Code::Unreachable) => {
                        last_refusal = why;
                    }
                    response => return response,
                }
            }
            if tokio::time::Instant::now() >= deadline {
                return Err(last_refusal);
            }
            tokio::time::sleep(SEARCH_INTERVAL).await;
        }
    }
}
