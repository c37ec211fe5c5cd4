//! The catalogue of events; docs/EVENTS.md is kept equal to it by a test.

use serde::Deserialize;
use serde::Serialize;

macro_rules! kinds {
    ($($variant:ident = $number:literal, $name:literal, $meaning:literal;)*) => {
        /// What happened; docs/EVENTS.md lists them all.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        #[repr(u16)]
        pub enum Kind {
            $(#[doc = $meaning] $variant = $number,)*
        }

        impl Kind {
            /// Every kind, in the order of its number.
            pub const ALL: &[Self] = &[$(Self::$variant),*];

            /// The short name.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name),* }
            }

            /// What happened, in one sentence.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$variant => $meaning),* }
            }
        }

        impl TryFrom<u16> for Kind {
            type Error = String;

            fn try_from(number: u16) -> Result<Self, String> {
                match number {
                    $($number => Ok(Self::$variant),)*
                    _ => Err(format!("{number} is no event")),
                }
            }
        }
    };
}

impl Kind {
    /// The number.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl From<Kind> for u16 {
    fn from(kind: Kind) -> Self {
        kind.number()
    }
}

kinds! {
    Started = 100, "started", "A process has started and listens.";
    Stopping = 101, "stopping", "A process was asked to stop and takes no new work.";
    Stopped = 102, "stopped", "A process has ended its work; the detail counts it.";
    Arrived = 200, "arrived", "A request has arrived and its customer is known.";
    Claimed = 201, "claimed", "The request's key is claimed at every replica of its shard.";
    Repeated = 202, "repeated", "The request's key was claimed before; the first answer is followed.";
    Granted = 203, "granted", "The owner of the service has given the request a server.";
    Sent = 204, "sent", "The first byte of the request goes out to the server.";
    FirstToken = 205, "first-token", "The first byte of the answer has come.";
    Resumed = 206, "resumed", "A broken stream goes on where it broke.";
    Ended = 207, "ended", "The request has ended; the detail has its code and outcome.";
    Refused = 208, "refused", "The request was refused; the detail has the code.";
    CallerLeft = 209, "caller-left", "The caller went away before its answer was whole.";
    TriedAgain = 210, "tried-again", "Surely nothing ran; the request asks for another server.";
    ClaimKept = 211, "claim-kept", "This entry keeps the request's claim as a replica of its shard.";
    Queued = 212, "queued", "The request is in the queue of the service, at its owner.";
    SendingFailed = 213, "sending-failed", "A backend server did not answer the request, or refused it; the detail has why.";
    ServerEnded = 214, "server-ended", "A backend server broke off under a request that it may have begun; the identity tells that request from others, whichever try it is.";
    ServerRests = 215, "server-rests", "A backend server has turned a request away and wants none from this gateway for a while; the line has the time that it asked for and the time that it is left alone, or what it gave in place of a time.";
    ServerLeaves = 216, "server-leaves", "A backend server says in an answer that it is to end.";
    ServerLimits = 217, "server-limits", "What a backend server says of how many requests a second it takes from all hosts together has changed: the line has the rate, none where it names none, or what it gave in place of one.";
    Shed = 220, "shed", "The owner has shed a waiting request.";
    Owns = 221, "owns", "This entry has become the owner of a service's queue.";
    ViewHeld = 300, "view-held", "The entry has adopted a view and acts no more under the former.";
    ViewActive = 301, "view-active", "The view is active; the entry acts under it.";
    LeaseLost = 302, "lease-lost", "The entry's lease has run out; it decides nothing.";
    ShardFilled = 303, "shard-filled", "A copy of a shard's claims has come and is whole.";
    ShardLost = 304, "shard-lost", "No copy of a shard's claims is left.";
    Revision = 305, "revision", "A revision of the configuration is in force here.";
    TableHeld = 306, "table-held", "A routing table is in force at this gateway.";
    ListHeld = 307, "list-held", "A list of backend servers is in force at this gateway.";
    HubFound = 308, "hub-found", "The gateway hears the leading control replica.";
    HubLost = 309, "hub-lost", "The gateway does not hear the leading control replica; requests of customers with limits are let in by parts of the allowances, here or at a deputy. Tells where it was sought, and why in vain.";
    PlatformFound = 310, "platform-found", "The platform's list is answered again.";
    PlatformLost = 311, "platform-lost", "The platform's list is not answered.";
    Reloaded = 312, "reloaded", "The settings were read again.";
    HubDoubted = 313, "hub-doubted", "The hub gave no place in time; this gateway chooses by itself for a while.";
    EntryUnreadable = 314, "entry-unreadable", "An entry of the platform's list names no server, as it cannot be read; the others hold.";
    Leads = 400, "leads", "This control replica has become the leader.";
    Follows = 401, "follows", "This control replica follows a leader or has none.";
    Command = 402, "command", "An operator's command was answered.";
    ViewProposed = 403, "view-proposed", "The leader proposes a new view of the entries.";
    ReplicaAdmitted = 404, "replica-admitted", "A control replica was taken in as a learner.";
    ReplicaCounts = 405, "replica-counts", "A learner is whole and counts from now on.";
    ReplicaExpelled = 406, "replica-expelled", "A control replica was taken out.";
    DiskFailed = 407, "disk-failed", "A write or sync has failed; the process ends.";
    Published = 408, "published", "A routing table is in force; the detail has its number.";
    PartsHeld = 409, "parts-held", "Other gateways hold a part of what they may do without the hub's word; the detail counts the parts of further sendings, who holds one, and the deputies, who let requests in.";
    RolloutOrdered = 410, "rollout-ordered", "An operator's order to move a service to another version was answered.";
    RolloutAdvanced = 411, "rollout-advanced", "A roll-out is to come to another phase; the detail has the evidence that decided it.";
    Quarantined = 412, "quarantined", "Backend servers ended under a request, as it is agreed; the detail has whose it is, its identity, and who ended.";
    Released = 413, "released", "A request under which servers had ended was answered whole, or is long past.";
    EvacuationOrdered = 414, "evacuation-ordered", "An operator's order to evacuate a data hall, or to end that, was answered.";
    EvacuationAgreed = 415, "evacuation-agreed", "An order to evacuate a data hall, or to end that, is agreed and in force.";
}
