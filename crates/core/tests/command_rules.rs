//! Rules for operators' commands: a number is executed once, a refused change changes nothing, and
//! lower limits of live servers and entries hold.

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
                .unwrap_or_else(|error| panic!("{line}: {error:?}"));
        }
        operators
    }

    fn execute(&mut self, operator: &str, number: u64, line: &str) -> Result<Revision, Code> {
        let command = Command {
            operator: operator.parse().expect("valid name"),
            number,
            line: line.to_owned(),
        };
        let answer = self.machine.apply(&Record::Command(command));
        answer.map_err(|error| error.get_code())
    }

    fn run(&mut self, line: &str) -> Result<Revision, Code> {
        self.number += 1;
        self.execute("root", self.number, line)
    }
}

const KEY_HASH: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

#[test]
fn reused_number() {
    let mut operators = Operators::new(&[]);
    let first = operators.execute("ann", 7, "create tier a rank=0");
    assert_eq!(first, Ok(Revision(1)));
    assert_eq!(
        operators.execute("ben", 7, "create tier b rank=1"),
        Err(Code::Conflict)
    );
    assert_eq!(
        operators.execute("ann", 7, "create tier c rank=1"),
        Err(Code::Conflict)
    );
    assert_eq!(
        operators.execute("ann", 7, "create tier a rank=0"),
        first,
        "a resent command must get the first result"
    );
    assert_eq!(operators.machine.get_snapshot().tiers.len(), 1);
}

#[test]
fn results_after_snapshot() {
    let mut operators = Operators::new(&["create tier a rank=0"]);
    let refused = operators.run("create tier a rank=1");
    assert_eq!(refused, Err(Code::Exists));
    operators.machine = Machine::decode(&operators.machine.encode()).expect("a decodable state");
    assert_eq!(
        operators.execute("root", 1, "create tier a rank=0"),
        Ok(Revision(1))
    );
    assert_eq!(
        operators.execute("root", 2, "create tier a rank=1"),
        refused,
        "the refusal must be stored as well"
    );
}

#[test]
fn dropped_results() {
    let mut operators = Operators::new(&["create tier a rank=0"]);
    for _ in 0..10_001 {
        let _ = operators.run("remove tier nothing");
    }
    let old = operators.execute("root", 1, "create tier a rank=0");
    assert_eq!(
        old,
        Err(Code::Conflict),
        "a dropped number must not be executed again"
    );
    assert!(operators.run("create tier b rank=1").is_ok());
}

#[test]
fn all_or_nothing() {
    let customer = format!("create customer c key_hash={KEY_HASH} tier=a");
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
        "a refused change must change nothing"
    );
    assert_eq!(
        operators.machine.audit().count(),
        3 + refused.len(),
        "the audit trail must have every command"
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
        "a data hall must keep a live entry"
    );
    assert!(operators.run("undrain server x").is_ok());
    assert!(
        operators.run("drain server y").is_ok(),
        "the other server may be drained once the first is live again"
    );
}

#[test]
fn operator_rights() {
    let read = format!("create operator guest key_hash={KEY_HASH} right=read");
    let mut operators = Operators::new(&[]);
    let may = |machine: &Machine, name: &str, hash: &str, right| {
        let operator = name.parse().expect("valid name");
        machine
            .authorize(&operator, hash, right)
            .map_err(|error| error.get_code())
    };
    assert_eq!(
        may(&operators.machine, "root", "", Right::Write),
        Ok(()),
        "root must have every right while there are no operators"
    );
    assert_eq!(
        may(&operators.machine, "ann", "", Right::Read),
        Err(Code::Forbidden)
    );
    operators.run(&read).expect("a created operator");
    assert_eq!(
        may(&operators.machine, "root", "", Right::Write),
        Err(Code::Forbidden)
    );
    assert_eq!(
        may(&operators.machine, "guest", KEY_HASH, Right::Read),
        Ok(())
    );
    assert_eq!(
        may(&operators.machine, "guest", KEY_HASH, Right::Write),
        Err(Code::Forbidden)
    );
    assert_eq!(
        may(&operators.machine, "guest", "other", Right::Read),
        Err(Code::Forbidden)
    );
}

#[test]
fn error_columns() {
    for (line, wanted) in [
        ("", "column 1: expected"),
        ("show", "column 5: expected customers"),
        ("show tiers sort by", "expected a name"),
        ("show tiers as xml", "column 15: expected json or table"),
        ("create tier", "expected a name"),
        ("create tier a rank=", "expected a value"),
        ("drain server x now", "expected"),
    ] {
        let error = lang::parse(line).expect_err(line).to_string();
        assert!(error.contains(wanted), "{line:?}: {error}");
    }
}
