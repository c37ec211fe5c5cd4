//! The catalogue of events; a test checks that docs/EVENTS.md is equal to it.

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
                    _ => Err(format!("{number} is not an event")),
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
    Started = 100, "started", "A process has started and accepts connections.";
    Stopping = 101, "stopping", "A process was asked to stop and takes no new work.";
    Stopped = 102, "stopped", "A process has finished its work; the detail counts it.";
    Arrived = 200, "arrived", "A request has arrived and its customer is known.";
    Claimed = 201, "claimed", "The request's key is claimed at every replica of its shard.";
    Repeated = 202, "repeated", "The request's key was claimed before; the caller gets the first request's response.";
    Granted = 203, "granted", "The owner of the service's queue has granted the request a slot of a server.";
    Sent = 204, "sent", "The first byte of the request is sent to the server.";
    FirstToken = 205, "first-token", "The first byte of the response has arrived.";
    Resumed = 206, "resumed", "A stream that broke off is resumed where it broke off. The log line has the former server's silence as that of `ended`.";
    Ended = 207, "ended", "The request has ended; the detail has its code and outcome. The log line of a response that was forwarded as it arrived also says how the server marks its end (length, chunks or close), and how many bytes of an incomplete event there were. Where the server was silent for half a second or more, `silent_ms` is its longest silence, and `silent_in` says where in the response that was: `start` (before the head), `head`, `body`, `framing` (of chunks) or `event`.";
    Refused = 208, "refused", "The request was refused; the detail has the code.";
    CallerLeft = 209, "caller-left", "The caller disconnected before its response was complete. The log line of a stream has its server's silence as that of `ended`.";
    TriedAgain = 210, "tried-again", "The request has certainly not run; it asks for another server.";
    ClaimKept = 211, "claim-kept", "This entry stores the request's claim as a replica of its shard.";
    Queued = 212, "queued", "The request is in the queue of the service, at its owner.";
    SendingFailed = 213, "sending-failed", "An attempt failed: the backend server did not respond, or refused the request; the detail has the reason. The log line has the server's silence as that of `ended`.";
    ServerEnded = 214, "server-ended", "A backend server crashed under a request that it may have begun to run; the identity is the same for all attempts and retries of that request.";
    ServerRests = 215, "server-rests", "A backend server has rejected a request and asked for a backoff; the log line has the time that it asked for and the time that this gateway backs off, or the invalid value that it gave as a time.";
    ServerLeaves = 216, "server-leaves", "A backend server has announced in a response that it is draining.";
    ServerLimits = 217, "server-limits", "The limit that a backend server announces has changed: how many requests a second it takes from all hosts together. The log line has the rate, none where the server announces no limit, or the invalid value that it gave as a rate.";
    RetryCharged = 218, "retry-charged", "A retry was charged to the service's retry budget. The log line has the account that paid: the gateway's own or the hub's, what it has left, and what was counted in it.";
    RetryDenied = 219, "retry-denied", "A request is not retried because no account of the service's retry budget has a retry left; the log line has what was counted.";
    Shed = 220, "shed", "The owner of the service's queue has shed a queued request.";
    Owns = 221, "owns", "This entry has become the owner of a service's queue.";
    RejectionLimit = 224, "rejection-limit", "How many requests a second a backend server may reject before it fails, as it announces in its responses, has changed. The log line has the number, none where it announces none any more. The hub sends it no more than it could reject.";
    RetryScheduled = 225, "retry-scheduled", "The hub has told the caller of a rejected request when to retry: the latest time that it honours at which fewer callers return than can be served. The log line has that time.";
    Tunnelled = 226, "tunnelled", "The request is sent through another gateway, as this host has lost its path to the backend server; the log line has the address of that gateway.";
    StreamTaken = 227, "stream-taken", "A caller takes up a stream. The log line has the request that brought its first event, by the caller; the version at which it goes on, and who knew it: this gateway, the hub, or the list, if the service has had a single version.";
    PaceChanged = 230, "pace-changed", "An engine takes several times its usual time, or has recovered from that; the detail has how many times it takes now. The hub places requests accordingly.";
    PathLost = 232, "path-lost", "This host cannot connect to a backend server, and another gateway can, or no server can be reached; requests go through other gateways. The log line has the reason, and the gateway that opened a tunnel.";
    PathFound = 233, "path-found", "This host can connect to a backend server again.";
    GatewayStops = 234, "gateway-stops", "A gateway has announced that it stops, so this host sends no more callers to it. The log line has how long ago an address response last named it.";
    StopAnnounced = 235, "stop-announced", "The other gateways know that this one stops, or have left the membership. The log line has whether the hub has told all of them, how many were told directly, and how long it took.";
    ViewHeld = 300, "view-held", "The entry has accepted a new view and no longer acts under the previous one.";
    ViewActive = 301, "view-active", "The view is active; the entry acts under it.";
    LeaseLost = 302, "lease-lost", "The entry's lease has expired; the entry makes no decisions.";
    ShardFilled = 303, "shard-filled", "This entry has received a complete copy of a shard's claims.";
    ShardLost = 304, "shard-lost", "No copy of a shard's claims is left.";
    Revision = 305, "revision", "A revision of the configuration is in effect here.";
    TableHeld = 306, "table-held", "A routing table is in effect at this gateway. The log line has how long ago the gateway heard of it, and how long it took to decode.";
    ListHeld = 307, "list-held", "A list of backend servers is in effect at this gateway.";
    HubFound = 308, "hub-found", "The gateway reaches the leading control replica, its hub.";
    HubLost = 309, "hub-lost", "The gateway does not reach the leading control replica, its hub; requests of customers with limits are admitted by shares of the quotas, here or at a standby. The log line says which addresses were tried, and why each failed.";
    PlatformFound = 310, "platform-found", "The platform responds to requests for its list again.";
    PlatformLost = 311, "platform-lost", "The platform does not respond to requests for its list.";
    Reloaded = 312, "reloaded", "The settings were read again.";
    HubDoubted = 313, "hub-doubted", "The hub granted no slot in time; this gateway decides locally, without the hub, for a while.";
    EntryUnreadable = 314, "entry-unreadable", "An entry of the platform's list cannot be decoded and is left out; the other entries are used.";
    SlotsLocal = 315, "slots-local", "The gateway has begun to use its share of the slots of a service, as the hub does not reply. The log line has the slots of the service, those of the share, and the requests that the gateway has in flight.";
    SlotsReturned = 316, "slots-returned", "The hub replies again, and the gateway no longer uses its share of the slots. The log line has how many requests it has started by its share.";
    TableAnnounced = 317, "table-announced", "This gateway has heard of a newer routing table than the one in effect here; the log line has its number and who announced it.";
    TableFetched = 318, "table-fetched", "This gateway has received a routing table that is too large for a poll's reply, whole or as a patch; the log line has its size, who gave the last part, how many calls that took, how many of them brought nothing, how often the download began anew, and the time from the first call to the last.";
    TableLate = 319, "table-late", "A newer routing table was announced, and this gateway has not received it in time: it rejects requests until it has, and callers are sent to other gateways.";
    Leads = 400, "leads", "This control replica has become the leader.";
    Follows = 401, "follows", "This control replica follows a leader or has none.";
    Command = 402, "command", "An operator's command was answered.";
    ViewProposed = 403, "view-proposed", "The leader proposes a new view of the entries.";
    ReplicaAdmitted = 404, "replica-admitted", "A control replica was admitted as a learner.";
    ReplicaCounts = 405, "replica-counts", "A learner has become a voter.";
    ReplicaExpelled = 406, "replica-expelled", "A control replica was removed.";
    DiskFailed = 407, "disk-failed", "A write or sync has failed; the process ends.";
    Published = 408, "published", "A routing table was published and is in effect; the detail has its number.";
    PartsHeld = 409, "parts-held", "The shares of gateways, which they may use without the hub, have changed; the detail counts the shares of the retry budget, the gateways that hold one, and the standbys, which admit requests.";
    RolloutOrdered = 410, "rollout-ordered", "An operator's order to move a service to another version was answered.";
    RolloutAdvanced = 411, "rollout-advanced", "A roll-out moves to another phase; the detail has the evidence for the decision.";
    Quarantined = 412, "quarantined", "A crash of backend servers under a request is committed; the detail has the request's customer, its identity, and the servers that crashed.";
    Released = 413, "released", "A request under which servers had crashed was answered in full, or its record has expired.";
    EvacuationOrdered = 414, "evacuation-ordered", "An operator's order to evacuate a data hall, or to end that, was answered.";
    EvacuationAgreed = 415, "evacuation-agreed", "An order to evacuate a data hall, or to end that, is committed and in effect.";
    TableAcknowledged = 416, "table-acknowledged", "A routing table is acknowledged to its operator: no gateway takes an older one for the newest. The detail has how long that took after the commit, how many gateways hold a lease, and how many of those do not have the table in effect yet.";
    PartSuspected = 417, "part-suspected", "At least one backend server crashed under a request with a part in its prompt, and no later answer refutes it yet; the detail has the part, the customer of the first request, whether other customers' requests are among them, the servers with their software, the software that answers such requests, and the trials.";
    PartQuarantined = 418, "part-quarantined", "Enough backend servers crashed under requests with a part in their prompts that it is quarantined; the detail is that of part-suspected.";
    PartReleased = 419, "part-released", "A part of prompts under which servers had crashed was answered, an operator released it, or its record has expired.";
    InFlightLimit = 420, "in-flight-limit", "The number of requests that a backend server may have in flight has changed to less than half or more than twice, or has another reason; the detail has the service, the server, its slots, the number and the reason.";
    ShareExceeded = 421, "share-exceeded", "A customer asks for more than its share of the slots of a service that has too few for all; the detail has the slot time that it asked for and received.";
    ShareKept = 422, "share-kept", "A customer no longer asks for more than its share of the slots of a service, or there are enough for all; the detail has the slot time that it asked for and received.";
    ServerAvoided = 423, "server-avoided", "The hub keeps new requests away from a backend server for a while; the detail has the service, the server, the host whose attempt failed, the failure, and for how long.";
    StreamVersion = 424, "stream-version", "A version of a service's software is announced, opened or removed: streams may begin at open ones.";
    ReplicaReplaced = 425, "replica-replaced", "A control replica was replaced by a learner on the same host; the detail has the host and the learner's disk.";
    LeaderMissing = 426, "leader-missing", "A control replica has seen no leader for seconds; the detail has the voters of its log, of which a majority must run, or says that it waits to be admitted.";
}
