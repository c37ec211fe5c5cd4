//! The first configurations, which the operators' page refers to, can be applied: every command is accepted.

use std::path::Path;

use curlewlift_core::state::Command;
use curlewlift_core::state::Machine;
use curlewlift_core::state::Record;

fn apply(name: &str) -> Machine {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../configurations")
        .join(name);
    let text = std::fs::read_to_string(path).expect("the file exists");
    let lines = text
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'));
    let mut machine = Machine::default();
    for (number, line) in lines.enumerate() {
        let command = Command {
            operator: "root".parse().expect("a name"),
            number: number as u64,
            line: line.to_owned(),
        };
        let answer = machine.apply(&Record::Command(command));
        answer.unwrap_or_else(|refusal| panic!("{line}: {refusal}"));
    }
    machine
}

#[test]
fn kursora() {
    let machine = apply("kursora.txt");
    let snapshot = machine.get_snapshot();
    assert_eq!((snapshot.servers.len(), snapshot.hosts.len()), (13, 12));
    assert_eq!((snapshot.customers.len(), snapshot.tiers.len()), (5, 4));
}

#[test]
fn vallebruna() {
    let machine = apply("vallebruna.txt");
    let snapshot = machine.get_snapshot();
    assert_eq!((snapshot.servers.len(), snapshot.hosts.len()), (15, 10));
    assert_eq!((snapshot.customers.len(), snapshot.tiers.len()), (5, 4));
}
