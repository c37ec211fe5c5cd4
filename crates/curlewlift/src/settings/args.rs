//! The command line.

#![allow(clippy::doc_markdown, reason = "the comments are the help page")]
#![allow(clippy::struct_field_names, reason = "the fields are the flags' names")]

use argh::FromArgs;

/// A request scheduler that stands between callers and inference engines of different kinds.
#[derive(Debug, FromArgs)]
pub(crate) struct Args {
    /// which events and messages to log: error, warn, info or debug; default warn
    /// (CURLEWLIFT_LOG)
    #[argh(option)]
    pub(crate) log: Option<String>,
    /// how to log: text, or json for one object per line; default text (CURLEWLIFT_LOG_FORMAT)
    #[argh(option)]
    pub(crate) log_format: Option<String>,
    /// where to serve metrics, as ADDRESS:PORT; default nowhere (CURLEWLIFT_METRICS)
    #[argh(option)]
    pub(crate) metrics: Option<String>,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// The subcommand.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Entry(Entry),
    Control(Control),
    Operate(Operate),
    Platform(Platform),
    Configuration(Configuration),
    Timeline(Timeline),
    Losses(Losses),
    Check(Check),
    Digest(Digest),
    Version(Version),
}

/// Runs an entry: accepts callers' requests.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct Entry {
    /// name of this host (CURLEWLIFT_HOST)
    #[argh(option)]
    pub(crate) host: Option<String>,
    /// name of this host's data hall (CURLEWLIFT_HALL)
    #[argh(option)]
    pub(crate) hall: Option<String>,
    /// address to listen at for other processes, as ADDRESS:PORT (CURLEWLIFT_RPC)
    #[argh(option)]
    pub(crate) rpc: Option<String>,
    /// address to listen at for callers, as ADDRESS:PORT (CURLEWLIFT_HTTP)
    #[argh(option)]
    pub(crate) http: Option<String>,
    /// the control replicas, as NAME=ADDRESS:PORT,... (CURLEWLIFT_CONTROL)
    #[argh(option)]
    pub(crate) control: Option<String>,
    /// length of a lease in milliseconds, 500 to 60000, the same at every process; default 2000
    /// (CURLEWLIFT_LEASE_MS)
    #[argh(option)]
    pub(crate) lease_ms: Option<String>,
    /// how long a stopping entry still serves callers that use its address, in milliseconds,
    /// 0 to 600000; default 5000 (CURLEWLIFT_KEEP_MS)
    #[argh(option)]
    pub(crate) keep_ms: Option<String>,
}

/// Runs a control replica: stores the configuration.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "control")]
pub(crate) struct Control {
    /// name of this host (CURLEWLIFT_HOST)
    #[argh(option)]
    pub(crate) host: Option<String>,
    /// address to listen at for other processes, as ADDRESS:PORT (CURLEWLIFT_RPC)
    #[argh(option)]
    pub(crate) rpc: Option<String>,
    /// the control replicas, as NAME=ADDRESS:PORT,... (CURLEWLIFT_CONTROL)
    #[argh(option)]
    pub(crate) control: Option<String>,
    /// where the platform serves its list of hosts, as ADDRESS:PORT; default nowhere
    /// (CURLEWLIFT_PLATFORM)
    #[argh(option)]
    pub(crate) platform: Option<String>,
    /// folder for its files (CURLEWLIFT_DATA)
    #[argh(option)]
    pub(crate) data: Option<String>,
    /// whether to found a new system if the folder is empty (true) or to join one (false);
    /// default false (CURLEWLIFT_FOUND)
    #[argh(option)]
    pub(crate) found: Option<String>,
    /// length of a lease in milliseconds, 500 to 60000, the same at every process; default 2000
    /// (CURLEWLIFT_LEASE_MS)
    #[argh(option)]
    pub(crate) lease_ms: Option<String>,
}

/// Runs a gateway on the platform, and a control replica in the same process if the host has a disk.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct Platform {
    /// the settings file that the platform provides (CURLEWLIFT_CONFIG)
    #[argh(option)]
    pub(crate) config: Option<String>,
    /// the parts of scheduling under hard load to switch on, separated by commas: in-flight,
    /// fair-shares, placement, retry-times, local-slots; default none (CURLEWLIFT_SCHEDULING)
    #[argh(option)]
    pub(crate) scheduling: Option<String>,
}

/// Runs operators' commands from the command line, a file or an interactive prompt.
///
/// The operator's key is read from CURLEWLIFT_KEY or a file, never from a flag.
#[derive(Debug, Default, FromArgs)]
#[argh(subcommand, name = "operate")]
pub(crate) struct Operate {
    /// the control replicas, as NAME=ADDRESS:PORT,... (CURLEWLIFT_CONTROL)
    #[argh(option)]
    pub(crate) control: Option<String>,
    /// name of the operator; default root (CURLEWLIFT_OPERATOR)
    #[argh(option)]
    pub(crate) operator: Option<String>,
    /// file with the operator's key
    #[argh(option)]
    pub(crate) key_file: Option<String>,
    /// number of the first command; a repeated number means the same command; default from the clock
    #[argh(option)]
    pub(crate) number: Option<u64>,
    /// file with one command per line
    #[argh(option)]
    pub(crate) file: Option<String>,
    /// the command; a prompt if neither it nor a file is given
    #[argh(positional)]
    pub(crate) line: Vec<String>,
}

/// Reads or sends the configuration of gateways on the platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "configuration")]
pub(crate) struct Configuration {
    #[argh(subcommand)]
    pub(crate) action: ConfigurationAction,
}

/// What to do with the configuration.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum ConfigurationAction {
    Get(GetConfiguration),
    Put(PutConfiguration),
}

/// Reads the newest configuration from the first host that is certain of it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct GetConfiguration {
    /// the gateways to ask, in this order, at their addresses for operators, as ADDRESS:PORT,...
    #[argh(option)]
    pub(crate) from: String,
    /// file to write, replaced once the configuration is complete; default standard output
    #[argh(option)]
    pub(crate) output: Option<String>,
}

/// Sends a configuration to the first host that acknowledges it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct PutConfiguration {
    /// the gateways to try, in this order, at their addresses for operators, as ADDRESS:PORT,...
    #[argh(option)]
    pub(crate) to: String,
    /// file with the configuration; - for standard input
    #[argh(positional)]
    pub(crate) file: String,
}

/// Shows the events of several processes in one causal order.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub(crate) struct Timeline {
    /// the processes to ask, as ADDRESS:PORT,...
    #[argh(option)]
    pub(crate) from: String,
    /// only events of the request with this key; needs the customer
    #[argh(option)]
    pub(crate) key: Option<String>,
    /// only events of this customer
    #[argh(option)]
    pub(crate) customer: Option<String>,
    /// only events about this backend server
    #[argh(option)]
    pub(crate) server: Option<String>,
    /// only events of this host
    #[argh(option)]
    pub(crate) host: Option<String>,
    /// only events with this number
    #[argh(option)]
    pub(crate) number: Option<u16>,
    /// text, json or svg; default text
    #[argh(option)]
    pub(crate) format: Option<String>,
}

/// Counts requests by outcome from gateways' logs: in time, late, refused, failed, cut off, left.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "losses")]
pub(crate) struct Losses {
    /// what to group by: rule, rank, customer, second or reason; default rank
    #[argh(option)]
    pub(crate) by: Option<String>,
    /// text or svg; default text
    #[argh(option)]
    pub(crate) format: Option<String>,
    /// logs of gateways, with or without a time in seconds before each line
    #[argh(positional)]
    pub(crate) logs: Vec<String>,
}

/// Checks the settings of a role from the environment, without starting it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// entry, control, platform or operate
    #[argh(positional)]
    pub(crate) role: String,
}

/// Prints the hash of a key read from standard input.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "digest")]
pub(crate) struct Digest {}

/// Prints the version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "version")]
pub(crate) struct Version {}
