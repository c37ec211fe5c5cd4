//! Assignment of services to owners and of shards to replicas.

mod support;

use std::collections::BTreeSet;

use curlewlift_core::id;
use curlewlift_core::view::REPLICAS_PER_SHARD;
use curlewlift_core::view::Roster;

use support::members::member;

fn roster(count: usize) -> Roster {
    Roster {
        number: id::View(1),
        members: (0..count).map(|index| member(index, 1)).collect(),
    }
}

fn service(index: usize) -> id::Service {
    format!("s{index}").parse().expect("valid name")
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
fn few_services_move() {
    let before = roster(12);
    let mut after = before.clone();
    let removed = after.members.remove(5);
    for index in 0..200 {
        let owner = before.owner(&service(index)).expect("an owner");
        let new_owner = after.owner(&service(index)).expect("an owner");
        assert!(owner.host == new_owner.host || owner.host == removed.host);
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
        .for_each(|member| member.hall = "h".parse().expect("valid name"));
    assert_eq!(one_hall.replicas(id::Shard(1)).len(), REPLICAS_PER_SHARD);
}

#[test]
fn preferred_owners() {
    let mut roster = roster(12);
    for member in &mut roster.members {
        member.owns = member.host.as_str() == "e3" || member.host.as_str() == "e4";
    }
    let owner = |roster: &Roster, index| {
        roster
            .owner(&service(index))
            .expect("an owner")
            .host
            .to_string()
    };
    let owners: BTreeSet<_> = (0..50).map(|index| owner(&roster, index)).collect();
    assert_eq!(owners, BTreeSet::from(["e3".to_owned(), "e4".to_owned()]));
    for index in [3, 4] {
        roster.members[index].leaving = true;
    }
    let owners: BTreeSet<_> = (0..50).map(|index| owner(&roster, index)).collect();
    assert!(
        owners.len() > 5,
        "without preferred owners, any entry may own a service: {owners:?}"
    );
}
