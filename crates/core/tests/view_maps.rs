//! The maps that follow from a view: owners of services and replicas of shards.

mod support;

use std::collections::BTreeSet;

use curlewlift_core::id;
use curlewlift_core::view::REPLICAS_PER_SHARD;
use curlewlift_core::view::Roster;

use support::members::member;

fn roster(count: usize) -> Roster {
    Roster {
        number: id::View(1),
        members: (0..count).map(|place| member(place, 1)).collect(),
    }
}

fn service(place: usize) -> id::Service {
    format!("s{place}").parse().expect("a name")
}

#[test]
fn three_halls() {
    let roster = roster(12);
    for shard in (0..256).map(id::Shard) {
        let replicas = roster.replicas(shard);
        let halls: BTreeSet<_> = replicas.iter().map(|member| &member.hall).collect();
        assert_eq!(
            (replicas.len(), halls.len()),
            (REPLICAS_PER_SHARD, REPLICAS_PER_SHARD)
        );
    }
}

#[test]
fn little_moves() {
    let before = roster(12);
    let mut after = before.clone();
    let gone = after.members.remove(5);
    for place in 0..200 {
        let owner = before.owner(&service(place)).expect("an owner");
        let next = after.owner(&service(place)).expect("an owner");
        assert!(owner.host == next.host || owner.host == gone.host);
    }
}

#[test]
fn few_members() {
    assert_eq!(roster(2).replicas(id::Shard(1)).len(), 2);
    assert!(roster(0).owner(&service(1)).is_none());
    let mut one_hall = roster(5);
    one_hall
        .members
        .iter_mut()
        .for_each(|m| m.hall = "h".parse().expect("a name"));
    assert_eq!(one_hall.replicas(id::Shard(1)).len(), REPLICAS_PER_SHARD);
}

#[test]
fn set_aside() {
    let mut roster = roster(12);
    for member in &mut roster.members {
        member.owns = member.host.as_str() == "e3" || member.host.as_str() == "e4";
    }
    let owner =
        |roster: &Roster, place| roster.owner(&service(place)).expect("one").host.to_string();
    let owners: BTreeSet<_> = (0..50).map(|place| owner(&roster, place)).collect();
    assert_eq!(owners, BTreeSet::from(["e3".to_owned(), "e4".to_owned()]));
    for place in [3, 4] {
        roster.members[place].leaving = true;
    }
    let owners: BTreeSet<_> = (0..50).map(|place| owner(&roster, place)).collect();
    assert!(
        owners.len() > 5,
        "where no such entry is left all own: {owners:?}"
    );
}
