//! What a gateway holds of the list of backend servers.

use crate::id;

use super::Incarnations;
use super::ServerList;
use super::ServerListUpdate;

/// What a gateway holds of the list of backend servers: its subset, and the whole where it keeps that.
///
/// A gateway beside a control replica keeps the whole, so that the next leader has it at once: fetching the
/// 60 pages of 3,000 servers took a new leader 0.7 s, in which nobody got a place. Those are a handful of
/// hosts, whatever the number of gateways.
#[derive(Clone, Debug)]
pub struct ServerListCache {
    host: id::Host,
    keeps_whole: bool,
    whole: Option<ServerList>,
    subset: ServerList,
    /// Which incarnations of the servers are the present ones, by the copies so far.
    lives: Incarnations,
    /// Whether news came of another subset than the one held, which serves until the whole comes.
    lacks: bool,
}

impl ServerListCache {
    /// The gateway on `host` holds nothing yet.
    #[must_use]
    pub fn new(host: id::Host, keeps_whole: bool) -> Self {
        Self {
            host,
            keeps_whole,
            whole: None,
            subset: ServerList::default(),
            lives: Incarnations::default(),
            lacks: false,
        }
    }

    /// The gateway's host.
    #[must_use]
    pub fn get_host(&self) -> &id::Host {
        &self.host
    }

    /// The servers that it may send to by its own choice; version 0 where it has no list yet.
    #[must_use]
    pub fn get_subset(&self) -> &ServerList {
        &self.subset
    }

    /// Whether it is told the whole list.
    #[must_use]
    pub fn keeps_whole(&self) -> bool {
        self.keeps_whole
    }

    /// The version of what the hub tells it of, as it holds it.
    #[must_use]
    pub fn get_version(&self) -> u64 {
        if self.lacks {
            0
        } else if self.keeps_whole {
            self.whole.as_ref().map_or(0, |whole| whole.version)
        } else {
            self.subset.version
        }
    }

    /// The whole list, where it is known here and the hub holds another, of version `held`.
    #[must_use]
    pub fn for_hub(&self, held: u64) -> Option<&ServerList> {
        let whole = self.whole.as_ref();
        whole.filter(|whole| whole.version != held)
    }

    /// Takes up a copy of the whole list.
    pub fn set_whole(&mut self, copy: ServerList) {
        let whole = self.lives.apply(copy);
        self.subset = whole.subset(&self.host);
        self.lacks = false;
        self.whole = Some(whole);
    }

    /// Takes up what the hub tells.
    pub fn apply(&mut self, news: ServerListUpdate) {
        match news {
            ServerListUpdate::Whole(listing) if self.keeps_whole => self.set_whole(listing),
            news => match self.subset.apply(news) {
                Some(after) => {
                    self.subset = after;
                    self.lacks = false;
                }
                // The news are about another list: the whole subset comes with the next answer.
                None => self.lacks = true,
            },
        }
    }

    /// Says that others fetch the list: one that was fetched here is soon older than the hub's.
    pub fn drop_fetched(&mut self) {
        if !self.keeps_whole {
            self.whole = None;
        }
    }
}
