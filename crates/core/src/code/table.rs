//! The table of result codes; a test checks that docs/CODES.md is equal to it.

use serde::Deserialize;
use serde::Serialize;

macro_rules! codes {
    ($($variant:ident = $number:literal, $name:literal, $status:literal, $meaning:literal;)*) => {
        /// A result code; docs/CODES.md lists them all.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $meaning] $variant = $number,)*
        }

        impl Code {
            /// Every code, in the order of its number.
            pub const ALL: &[Self] = &[$(Self::$variant),*];

            /// The short name, as in headers and messages.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name),* }
            }

            /// The HTTP status of the response that callers receive with it.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$variant => $status),* }
            }

            /// What it means, in one sentence.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$variant => $meaning),* }
            }
        }

        impl TryFrom<u16> for Code {
            type Error = String;

            fn try_from(number: u16) -> Result<Self, String> {
                match number {
                    $($number => Ok(Self::$variant),)*
                    _ => Err(format!("{number} is not a result code")),
                }
            }
        }
    };
}

impl Code {
    /// The number.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(curlewlift_core::code::Code::Done.number(), 0);
    /// ```
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

codes! {
    Done = 0, "done", 200, "The request was answered in full, or the command is in effect.";
    BadJson = 1001, "bad-json", 400, "The body is not JSON, or a field has the wrong type.";
    MissingField = 1002, "missing-field", 400, "A required field is missing.";
    BadHeader = 1003, "bad-header", 400, "A header is given twice or has a value that cannot be read.";
    WrongMethod = 1004, "wrong-method", 405, "The path does not take this method.";
    UnknownModel = 1005, "unknown-model", 404, "No service has this model.";
    UnknownService = 1006, "unknown-service", 404, "No service has this name.";
    UnknownPath = 1007, "unknown-path", 404, "Nothing is served under this path.";
    TooLarge = 1008, "too-large", 413, "The body is larger than the customer may send.";
    TooSlow = 1009, "too-slow", 408, "The body did not arrive in time.";
    PastDeadline = 1010, "past-deadline", 400, "The deadline had passed when the request arrived.";
    WrongKey = 2001, "wrong-key", 401, "The bearer key is missing or belongs to no customer.";
    RateLimit = 2002, "rate-limit", 429, "The customer sends more requests a second than it may.";
    OpenLimit = 2003, "open-limit", 429, "The customer has reached its limit of open requests.";
    Forbidden = 2004, "forbidden", 403, "The operator may not give this command.";
    Allowance = 2005, "allowance", 429, "The customer has used up its quota; retry later.";
    CostTooHigh = 2006, "cost-too-high", 429, "The request costs more than the customer's quota ever allows; it is never admitted.";
    Shed = 3001, "shed", 503, "The service's queue is full and this request had the lowest tier in it.";
    CannotFinish = 3002, "cannot-finish", 503, "The deadline cannot be met; the request was refused before prefill.";
    QueueLimit = 3003, "queue-limit", 503, "The customer has reached its limit of queued requests.";
    Expired = 3004, "expired", 504, "The deadline passed while the request was queued.";
    NoServer = 3005, "no-server", 503, "No backend server of the service is live.";
    ServersRest = 3006, "servers-rest", 503, "All backend servers of the service are backing off; retry when the first backoff has ended.";
    ServersLimited = 3007, "servers-limited", 503, "All backend servers of the service limit their request rate, and none has a slot free in time; retry later.";
    NoHome = 3008, "no-home", 503, "The rule and the customer allow no common region that has a data hall.";
    HostFull = 3009, "host-full", 503, "This host holds as many bytes of requests and responses as its memory allows; retry at another host.";
    NoPath = 3010, "no-path", 503, "This host has lost its paths to all backend servers of the service, and no other gateway tunnels connections there; retry at another host.";
    UnknownStream = 3011, "unknown-stream", 503, "Servers of several versions may serve, and it is not known which one began the stream that the request takes up; the request did not run.";
    VersionGone = 3012, "version-gone", 503, "No backend server is left that runs the version which began the stream; the request did not run.";
    Refused = 4001, "refused", 502, "The backend server refused before running.";
    Broken = 4002, "broken", 502, "The response broke off before it was complete.";
    Late = 4003, "late", 504, "The response was not complete when the deadline passed.";
    RetryBudget = 4004, "retry-budget", 503, "The request did not run, and the retry budget allows no retry at present.";
    Quarantined = 4005, "quarantined", 502, "Backend servers crashed under this request before; it is in quarantine for a while.";
    Suspected = 4006, "suspected", 503, "Backend servers crashed under this request before, and another attempt of it is in progress; it did not run here.";
    PartQuarantined = 4007, "part-quarantined", 503, "Backend servers crashed under requests with a part of this request's prompt; it did not run.";
    OtherBody = 5001, "other-body", 422, "The request key was used before with another body.";
    InFlight = 5002, "in-flight", 409, "A request with this key is running; retry later.";
    ClaimUnknown = 5003, "claim-unknown", 409, "A request with this key may have run; its response is not stored.";
    UnknownKey = 5004, "unknown-key", 404, "No request with this key is stored.";
    KeyTooOld = 5005, "key-too-old", 409, "The record of this key may have been dropped; the request was not run as a new one.";
    KeyLimit = 5006, "key-limit", 429, "The customer has reached its limit of stored keys.";
    Syntax = 6001, "syntax", 400, "The command cannot be parsed.";
    Conflict = 6002, "conflict", 409, "The command's number was used with other content.";
    Unknown = 6003, "unknown", 404, "The command names something that does not exist.";
    Exists = 6004, "exists", 409, "The command creates something that exists already.";
    InUse = 6005, "in-use", 409, "The command would remove something that is in use.";
    BadValue = 6006, "bad-value", 400, "A field has a value that it cannot take.";
    Floor = 6007, "floor", 409, "The command would leave too few live backend servers or hosts.";
    NotLeader = 7001, "not-leader", 503, "This control replica is not the leader; send to the one that it names.";
    NoLease = 7002, "no-lease", 503, "This entry's lease has expired; use another address.";
    Unreachable = 7003, "unreachable", 503, "A process that is needed for the request did not respond.";
    Leaving = 7004, "leaving", 503, "This entry is stopping; use another address.";
    WrongView = 7005, "wrong-view", 503, "The two entries have different views; retry.";
    Internal = 7006, "internal", 500, "An invariant was violated; the event log says where.";
    NoTable = 7007, "no-table", 503, "This gateway has no routing table yet; use another address.";
    OldTable = 7008, "old-table", 503, "This gateway cannot be sure that its routing table is the newest, and does not decide by it; retry at another address.";
    NotCarriedOut = 7009, "not-carried-out", 503, "The operator's order was not carried out and will not be; send it again if it is still wanted.";
    NotTransferred = 7010, "not-transferred", 503, "No host completed the transfer of a document; one that was sent may be in effect: send it again.";
    BadSetting = 8001, "bad-setting", 500, "A setting is unknown, out of range or contradicts another.";
    Damaged = 9001, "damaged", 500, "A file of the data folder is damaged; its content is not repaired by guessing.";
    DiskFailed = 9002, "disk-failed", 500, "A write or sync failed; the process stopped.";
}
