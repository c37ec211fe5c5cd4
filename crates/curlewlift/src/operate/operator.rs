//! Gives commands to the control replicas.

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

/// How long one replica may take.
const CALL: Duration = Duration::from_secs(3);

/// How long a leader is looked for.
const PATIENCE: Duration = Duration::from_secs(10);

/// Between two rounds over the replicas.
const PAUSE: Duration = Duration::from_millis(100);

/// An operator with a key, who knows where the control replicas are.
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
    /// The operator `name` with its key.
    #[must_use]
    pub fn new(name: id::Operator, key: &str, control: Vec<SocketAddr>) -> Self {
        Self {
            name,
            key: key.to_owned(),
            control,
        }
    }

    /// Gives the line `number`, to whichever replica leads, until it is answered.
    ///
    /// The same number with the same line is the same command, however often it is given: nothing
    /// is applied twice. Must not be called from inside an asynchronous runtime.
    ///
    /// # Errors
    ///
    /// The refusal; [`Code::Unreachable`] where no replica answered, and then the command may have
    /// been accepted: give the same number again to learn the answer.
    pub fn run(&self, number: u64, line: &str) -> Result<String, Refusal> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|why| Refusal::new(Code::Internal, why.to_string()))?;
        LocalSet::new().block_on(&runtime, self.give(number, line))
    }

    async fn give(&self, number: u64, line: &str) -> Result<String, Refusal> {
        let client = rpc::Client::new(Timeline::new(self.name.as_str()));
        let call = CommandCall {
            operator: self.name.clone(),
            key: self.key.clone(),
            number,
            line: line.to_owned(),
        };
        let until = tokio::time::Instant::now() + PATIENCE;
        loop {
            let mut last = Refusal::new(Code::Unreachable, "no control replica is named");
            for address in &self.control {
                match client.call(*address, Method::Command, &call, CALL).await {
                    Err(why) if matches!(why.get_code(), Code::NotLeader | Code::Unreachable) => {
                        last = why;
                    }
                    answer => return answer,
                }
            }
            if tokio::time::Instant::now() >= until {
                return Err(last);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}
