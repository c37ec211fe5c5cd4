//! Control hosts: kills, damaged and blank disks, operators who race and resend (rows S1, S3, S4,
//! S5, S8, S9).

mod support;

use std::path::Path;
use std::time::Duration;

use curlewlift::Control;
use curlewlift_core::code::Code;
use curlewlift_lab::site::Site;

const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

fn wait_for(what: &str, mut ready: impl FnMut() -> bool) {
    for _ in 0..400 {
        if ready() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{what} did not happen");
}

fn tiers(site: &Site) -> usize {
    site.ask("show tiers as json")
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
    let again = operator.run(500, "create tier c rank=2");
    assert_eq!(first, again, "the same answer");
    let other = operator
        .run(500, "create tier d rank=3")
        .map_err(|why| why.get_code());
    assert_eq!(other, Err(Code::Conflict));
    site.restart_control(0);
    site.kill_control(1);
    wait_for("the returned replica answers", || tiers(&site) == 3);
    let after = operator.run(500, "create tier c rank=2");
    assert_eq!(
        first, after,
        "also through another host and after a restart"
    );
}

#[test]
fn all_restart() {
    let mut site = Site::start(&support::folder("all_restart"), &HALLS, 3, 0);
    site.wait_for_replicas(3);
    site.tiers();
    for place in 0..3 {
        site.kill_control(place);
    }
    for place in 0..3 {
        site.restart_control(place);
    }
    wait_for("every accepted change is in force", || tiers(&site) == 4);
}

#[test]
fn lost_disk() {
    let folder = support::folder("lost_disk");
    let mut site = Site::start(&folder, &HALLS, 3, 0);
    site.wait_for_replicas(3);
    site.tiers();
    site.kill_control(2);
    std::fs::remove_dir_all(folder.join("c3")).expect("the disk is lost");
    site.restart_control(2);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(site.replicas(), 2, "a blank disk is not its former self");
    site.run("remove host c3");
    let rpc = site.control_addresses()[2];
    site.run(&format!(
        "create host c3 role=control hall=hall-c rpc={rpc}"
    ));
    site.wait_for_replicas(3);
    // A second host is lost right after the repair.
    site.kill_control(0);
    wait_for("nothing accepted is lost", || tiers(&site) == 4);
}

fn start(folder: &Path) -> Result<curlewlift::Process, Code> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let control = Control::new("c1".parse().expect("a name"), listener).data(folder.to_owned());
    control.found(true).start().map_err(|why| why.get_code())
}

#[test]
fn torn_record() {
    let folder = support::folder("torn_record");
    let mut site = Site::start(&folder, &HALLS, 1, 0);
    site.tiers();
    site.kill_control(0);
    let path = folder.join("c1/journal");
    let mut bytes = std::fs::read(&path).expect("a journal");
    let first = bytes[8..60].to_vec();
    bytes.extend(first);
    std::fs::write(&path, &bytes).expect("a torn record at the end");
    site.restart_control(0);
    wait_for("what was acknowledged is there", || tiers(&site) == 4);
}

#[test]
fn flipped_bit() {
    let folder = support::folder("flipped_bit");
    let mut site = Site::start(&folder, &HALLS, 1, 0);
    site.tiers();
    site.kill_control(0);
    let folder = folder.join("c1");
    let whole = std::fs::read(folder.join("journal")).expect("a journal");
    for place in (0..whole.len()).step_by(5) {
        let mut bytes = whole.clone();
        bytes[place] ^= 0x10;
        std::fs::write(folder.join("journal"), &bytes).expect("written");
        match start(&folder) {
            Err(code) => assert_eq!(code, Code::Damaged, "byte {place}"),
            Ok(process) => {
                process.kill();
                panic!("byte {place} was guessed at");
            }
        }
    }
}
