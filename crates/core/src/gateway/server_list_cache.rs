//! A gateway's copy of the server list.

use crate::id;

use super::Incarnations;
use super::ServerList;
use super::ServerListUpdate;

/// A gateway's copy of the server list: its subset, and the whole list where the gateway stores
/// that.
///
/// A gateway beside a control replica stores the whole list, so that the next leader has it at
/// once: fetching the 60 pages of 3,000 servers took a new leader 0.7 s in which no request got a
/// slot. There are only a handful of such hosts, however many gateways there are.
#[derive(Clone, Debug)]
pub struct ServerListCache {
    host: id::Host,
    stores_whole: bool,
    whole: Option<ServerList>,
    subset: ServerList,
    /// The current incarnations of the servers, by the copies so far.
    incarnations: Incarnations,
    /// Whether an update of another subset was received. The current subset stays in use until the
    /// whole one is received.
    needs_whole: bool,
}

impl ServerListCache {
    /// Creates an empty cache for the gateway on `host`.
    #[must_use]
    pub fn new(host: id::Host, stores_whole: bool) -> Self {
        Self {
            host,
            stores_whole,
            whole: None,
            subset: ServerList::default(),
            incarnations: Incarnations::default(),
            needs_whole: false,
        }
    }

    /// Returns the gateway's host.
    #[must_use]
    pub fn get_host(&self) -> &id::Host {
        &self.host
    }

    /// Returns the servers to which the gateway may send by local decision. Its version is 0 before
    /// there is a list.
    #[must_use]
    pub fn get_subset(&self) -> &ServerList {
        &self.subset
    }

    /// Returns whether the gateway receives the whole list.
    #[must_use]
    pub fn stores_whole(&self) -> bool {
        self.stores_whole
    }

    /// Returns the version that the gateway reports to the hub, or 0 if it needs the whole subset
    /// or list.
    #[must_use]
    pub fn get_version(&self) -> u64 {
        if self.needs_whole {
            0
        } else if self.stores_whole {
            self.whole.as_ref().map_or(0, |whole| whole.version)
        } else {
            self.subset.version
        }
    }

    /// Returns the whole list if it is known here and its version is not the hub's, `hub_version`.
    #[must_use]
    pub fn for_hub(&self, hub_version: u64) -> Option<&ServerList> {
        let whole = self.whole.as_ref();
        whole.filter(|whole| whole.version != hub_version)
    }

    /// Replaces the whole list by a new copy.
    pub fn set_whole(&mut self, copy: ServerList) {
        let whole = self.incarnations.apply(copy);
        self.subset = whole.subset(&self.host);
        self.needs_whole = false;
        self.whole = Some(whole);
    }

    /// Applies an update from the hub.
    pub fn apply(&mut self, update: ServerListUpdate) {
        match update {
            ServerListUpdate::Whole(list) if self.stores_whole => self.set_whole(list),
            update => match self.subset.apply(update) {
                Some(updated) => {
                    self.subset = updated;
                    self.needs_whole = false;
                }
                // The update starts from another list. The next reply carries the whole subset.
                None => self.needs_whole = true,
            },
        }
    }

    /// Drops a list that was fetched here when another gateway fetches it from now on, as it would
    /// soon be older than the hub's.
    pub fn drop_fetched(&mut self) {
        if !self.stores_whole {
            self.whole = None;
        }
    }
}
