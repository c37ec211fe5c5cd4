//! Control replicas under killed hosts, damaged and blank disks, and repeated commands (failure
//! cases S1, S3, S4, S5, S8 and S9).
//!
//! Accepted changes must survive every one of these failures, and a command that an operator sends
//! again must not be applied twice.

mod support;

use std::path::Path;
use std::time::Duration;

use curlewlift::Control;
use curlewlift_core::code::Code;
use curlewlift_lab::site::Site;

const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

fn wait_for(condition: &str, mut is_met: impl FnMut() -> bool) {
    for _ in 0..400 {
        if is_met() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{condition}: not within 20 seconds");
}

/// The number of tiers in the configuration, or 0 if no leader responds.
fn count_tiers(site: &Site) -> usize {
    site.query("show tiers as json")
        .map_or(0, |text| text.lines().count())
}

#[test]
fn leader_dies() {
    let mut site = Site::start(&support::folder("leader_dies"), &HALLS, 3, 0);
    site.wait_for_replicas(3);
    site.run("create tier a rank=0");
    site.kill_control(0);
    site.run("create tier b rank=1");
    let operator = site.operator();
    let first = operator.run(500, "create tier c rank=2");
    let repeated = operator.run(500, "create tier c rank=2");
    assert_eq!(first, repeated, "a repeated command has the same result");
    let conflicting = operator
        .run(500, "create tier d rank=3")
        .map_err(|why| why.get_code());
    assert_eq!(conflicting, Err(Code::Conflict));
    site.restart_control(0);
    site.kill_control(1);
    wait_for("the restarted replica serves all accepted changes", || {
        count_tiers(&site) == 3
    });
    let after_restart = operator.run(500, "create tier c rank=2");
    assert_eq!(
        first, after_restart,
        "the same result through another host and after a restart"
    );
}

#[test]
fn all_restart() {
    let mut site = Site::start(&support::folder("all_restart"), &HALLS, 3, 0);
    site.wait_for_replicas(3);
    site.create_tiers();
    for index in 0..3 {
        site.kill_control(index);
    }
    for index in 0..3 {
        site.restart_control(index);
    }
    wait_for("every accepted change is still applied", || {
        count_tiers(&site) == 4
    });
}

#[test]
fn lost_disk() {
    let folder = support::folder("lost_disk");
    let mut site = Site::start(&folder, &HALLS, 3, 0);
    site.wait_for_replicas(3);
    site.create_tiers();
    site.kill_control(2);
    std::fs::remove_dir_all(folder.join("c3")).expect("the data folder can be removed");
    site.restart_control(2);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(
        site.replicas(),
        2,
        "a replica with a blank disk does not count as the former replica"
    );
    site.run("remove host c3");
    let rpc = site.control_addresses()[2];
    site.run(&format!(
        "create host c3 role=control hall=hall-c rpc={rpc}"
    ));
    site.wait_for_replicas(3);
    // A second host is lost right after the first is repaired.
    site.kill_control(0);
    wait_for("every accepted change survives", || count_tiers(&site) == 4);
}

/// Starts a control replica on an existing data folder.
fn start_replica(folder: &Path) -> Result<curlewlift::Process, Code> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let control =
        Control::new("c1".parse().expect("the name is valid"), listener).data(folder.to_owned());
    control.found(true).start().map_err(|why| why.get_code())
}

#[test]
fn torn_record() {
    let folder = support::folder("torn_record");
    let mut site = Site::start(&folder, &HALLS, 1, 0);
    site.create_tiers();
    site.kill_control(0);
    let path = folder.join("c1/journal");
    let mut bytes = std::fs::read(&path).expect("the journal can be read");
    let incomplete_record = bytes[8..60].to_vec();
    bytes.extend(incomplete_record);
    std::fs::write(&path, &bytes).expect("the journal can be written");
    site.restart_control(0);
    wait_for("every acknowledged change is still there", || {
        count_tiers(&site) == 4
    });
}

#[test]
fn flipped_bit() {
    let folder = support::folder("flipped_bit");
    let mut site = Site::start(&folder, &HALLS, 1, 0);
    site.create_tiers();
    site.kill_control(0);
    let folder = folder.join("c1");
    let intact = std::fs::read(folder.join("journal")).expect("the journal can be read");
    for index in (0..intact.len()).step_by(5) {
        let mut bytes = intact.clone();
        bytes[index] ^= 0x10;
        std::fs::write(folder.join("journal"), &bytes).expect("the journal can be written");
        match start_replica(&folder) {
            Err(code) => assert_eq!(code, Code::Damaged, "byte {index}"),
            Ok(process) => {
                process.kill();
                panic!("the replica started although byte {index} of the journal is damaged");
            }
        }
    }
}
