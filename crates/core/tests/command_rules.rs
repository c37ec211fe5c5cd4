//! Commands: numbers, conflicts, and what a change may not break (rows S7, S8, S11, M5).

use curlewlift_core::code::Code;
use curlewlift_core::config::Right;
use curlewlift_core::id::Revision;
use curlewlift_core::lang;
use curlewlift_core::state::Command;
use curlewlift_core::state::Machine;
use curlewlift_core::state::Record;

struct Operators {
    machine: Machine,
    number: u64,
}

impl Operators {
    fn new(lines: &[&str]) -> Self {
        let machine = Machine::default();
        let mut operators = Self { machine, number: 0 };
        for line in lines {
            operators
                .run(line)
                .unwrap_or_else(|why| panic!("{line}: {why:?}"));
        }
        operators
    }

    fn give(&mut self, operator: &str, number: u64, line: &str) -> Result<Revision, Code> {
        let command = Command {
            operator: operator.parse().expect("a name"),
            number,
            line: line.to_owned(),
        };
        let answer = self.machine.apply(&Record::Command(command));
        answer.map_err(|why| why.get_code())
    }

    fn run(&mut self, line: &str) -> Result<Revision, Code> {
        self.number += 1;
        self.give("root", self.number, line)
    }
}

const HASH: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

#[test]
fn equal_numbers() {
    let mut operators = Operators::new(&[]);
    let first = operators.give("ann", 7, "create tier a rank=0");
    assert_eq!(first, Ok(Revision(1)));
    assert_eq!(
        operators.give("ben", 7, "create tier b rank=1"),
        Err(Code::Conflict)
    );
    assert_eq!(
        operators.give("ann", 7, "create tier c rank=1"),
        Err(Code::Conflict)
    );
    assert_eq!(
        operators.give("ann", 7, "create tier a rank=0"),
        first,
        "a resend"
    );
    assert_eq!(operators.machine.get_snapshot().tiers.len(), 1);
}

#[test]
fn after_snapshot() {
    let mut operators = Operators::new(&["create tier a rank=0"]);
    let refused = operators.run("create tier a rank=1");
    assert_eq!(refused, Err(Code::Exists));
    operators.machine = Machine::decode(&operators.machine.encode()).expect("it is read back");
    assert_eq!(
        operators.give("root", 1, "create tier a rank=0"),
        Ok(Revision(1))
    );
    assert_eq!(
        operators.give("root", 2, "create tier a rank=1"),
        refused,
        "also a refusal"
    );
}

#[test]
fn dropped_numbers() {
    let mut operators = Operators::new(&["create tier a rank=0"]);
    for _ in 0..10_001 {
        let _ = operators.run("remove tier nothing");
    }
    let old = operators.give("root", 1, "create tier a rank=0");
    assert_eq!(old, Err(Code::Conflict), "never applied as if new");
    assert!(operators.run("create tier b rank=1").is_ok());
}

#[test]
fn whole_or_not() {
    let customer = format!("create customer c key_hash={HASH} tier=a");
    let lines = [
        "create tier a rank=0",
        &customer,
        "create service s model=m",
    ];
    let mut operators = Operators::new(&lines);
    let before = operators.machine.get_snapshot().clone();
    let refused = [
        ("remove tier a", Code::InUse),
        ("create tier b rank=0", Code::BadValue),
        ("create tier b", Code::BadValue),
        ("create tier b rank=1 colour=red", Code::BadValue),
        ("create customer d key_hash=1 tier=a", Code::BadValue),
        ("change customer c tier=z", Code::InUse),
        ("change customer c weight=0", Code::BadValue),
        ("change customer nobody weight=1", Code::Unknown),
        ("create service t model=m", Code::BadValue),
        (
            "create server x service=none address=127.0.0.1:1 hall=h",
            Code::InUse,
        ),
        ("drain tier a", Code::BadValue),
        ("create tier B rank=1", Code::BadValue),
        ("show tiers", Code::Syntax),
        ("creat tier b", Code::Syntax),
    ];
    for (line, code) in refused {
        assert_eq!(operators.run(line), Err(code), "{line}");
    }
    assert_eq!(
        operators.machine.get_snapshot(),
        &before,
        "nothing half applied"
    );
    assert_eq!(
        operators.machine.audit().count(),
        3 + refused.len(),
        "every command is kept"
    );
}

#[test]
fn drain_floors() {
    let mut operators = Operators::new(&[
        "create service s model=m floor=1",
        "create server x service=s address=127.0.0.1:1 hall=h",
        "create server y service=s address=127.0.0.1:2 hall=h",
        "create host e1 role=entry hall=h rpc=127.0.0.1:3 http=127.0.0.1:4",
        "create host e2 role=entry hall=h rpc=127.0.0.1:5 http=127.0.0.1:6",
        "drain server x",
        "drain host e1",
    ]);
    assert_eq!(operators.run("drain server y"), Err(Code::Floor));
    assert_eq!(operators.run("remove server y"), Err(Code::Floor));
    assert_eq!(
        operators.run("drain host e2"),
        Err(Code::Floor),
        "a hall keeps an entry"
    );
    assert!(operators.run("undrain server x").is_ok());
    assert!(
        operators.run("drain server y").is_ok(),
        "one after the other"
    );
}

#[test]
fn rights() {
    let read = format!("create operator guest key_hash={HASH} right=read");
    let mut operators = Operators::new(&[]);
    let may = |machine: &Machine, name: &str, hash: &str, right| {
        let operator = name.parse().expect("a name");
        machine
            .authorize(&operator, hash, right)
            .map_err(|why| why.get_code())
    };
    assert_eq!(
        may(&operators.machine, "root", "", Right::Write),
        Ok(()),
        "the first of all"
    );
    assert_eq!(
        may(&operators.machine, "ann", "", Right::Read),
        Err(Code::Forbidden)
    );
    operators.run(&read).expect("it is created");
    assert_eq!(
        may(&operators.machine, "root", "", Right::Write),
        Err(Code::Forbidden)
    );
    assert_eq!(may(&operators.machine, "guest", HASH, Right::Read), Ok(()));
    assert_eq!(
        may(&operators.machine, "guest", HASH, Right::Write),
        Err(Code::Forbidden)
    );
    assert_eq!(
        may(&operators.machine, "guest", "other", Right::Read),
        Err(Code::Forbidden)
    );
}

#[test]
fn error_places() {
    for (line, wanted) in [
        ("", "column 1: expected"),
        ("show", "column 5: expected customers"),
        ("show tiers sort by", "expected a name"),
        ("show tiers as xml", "column 15: expected json or table"),
        ("create tier", "expected a name"),
        ("create tier a rank=", "expected a value"),
        ("drain server x now", "expected"),
    ] {
        let why = lang::parse(line).expect_err(line).to_string();
        assert!(why.contains(wanted), "{line:?}: {why}");
    }
}
