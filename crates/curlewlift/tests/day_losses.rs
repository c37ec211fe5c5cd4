//! The `losses` subcommand on logs with lines of other programs, truncated lines and a clock that jumps.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

/// The logs of two hosts.
const LOGS: [&str; 2] = [
    r#"  0.1000 g1 {"event":100,"name":"started"}
  0.2000 g1 {"event":204,"name":"sent","request":"a","rule":"chat","customer":"ann","rank":"0.1","objective_ms":500,"pause_ms":400,"after_ms":10}
  0.3000 g1 {"event":207,"name":"ended","request":"a","status":200,"how":"stream","first_ms":90,"longest_ms":20,"after_ms":2000}
  1.1000 g1 {"event":204,"name":"sent","request":"b","rule":"chat","customer":"ann","rank":"0.1","objective_ms":500,"pause_ms":400,"after_ms":10}
  1.2000 g1 {"event":207,"name":"ended","request":"b","status":200,"how":"stream","first_ms":90,"longest_ms":900,"after_ms":2000}
kernel: something else
  1.3000 g1 {"event":208,"name":"refused","request":"c","rule":"pay","customer":"ben","rank":"1.0","code":2005,"after_ms":1}
  1.4000 g1 {"event":204,"name":"sent","request":"d","rule":"pay","customer":"ann","rank":"1.0","objective_ms":150,"after_ms":0}
  1.5000 g1 {"event":213,"name":"sending-failed","request":"d","why":"reset","after_ms":150}
  1.6000 g1 {"event":208,"name":"refused","request":"d","rule":"pay","customer":"ann","rank":"1.0","code":4002,"after_ms":200}
"#,
    r#"  2.1000 g2 {"event":204,"name":"sent","request":"e","rule":"pay","customer":"ben","rank":"1.0","objective_ms":150,"after_ms":0}
 -3.0000 g2 {"event":207,"name":"ended","request":"e","status":200,"how":"whole","first_ms":200,"after_ms":200}
  2.2000 g2 {"event":204,"name":"sent","request":"f","rule":"pay","customer":"ben","rank":"1.0","objective_ms":150,"after_ms":0}
  2.3000 g2 {"event":207,"name":"ended","request":"f","status":500,"how":"whole","first_ms":20,"after_ms":20}
  2.4000 g2 {"event":204,"name":"sent","request":"g","rule":"chat","customer":"ben","rank":"0.1","objective_ms":500,"after_ms":0}
  2.5000 g2 {"event":209,"name":"caller-left","request":"g","after_ms":100}
  2.6000 g2 {"event":204,"name":"sent","request":"h","rule":"chat","customer":"ben","rank":"0.1","objective_ms":500,"after_ms":0}
  2.7000 g2 {"event":207,"name":"ended","request":"h","how":"cut","why":"reset","aft"#,
];

/// Runs the subcommand on the logs.
fn run_losses(name: &str, options: &[&str]) -> Output {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let folder = folder.join(format!("losses-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    let mut command = Command::new(env!("CARGO_BIN_EXE_curlewlift"));
    command.arg("losses").args(options);
    for (index, log) in LOGS.iter().enumerate() {
        let path = folder.join(format!("{index}.log"));
        std::fs::write(&path, log).expect("the log can be written");
        command.arg(path);
    }
    let output = command.output().expect("the program can be started");
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
    output
}

/// The table grouped by `by`, as text.
fn table_text(name: &str, by: &str) -> String {
    let output = run_losses(name, &["--by", by]);
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("the output is UTF-8")
}

#[test]
fn by_rank() {
    let table = "
            asked  in time     late  refused   failed      cut     left
0.1             3        1        1        0        0        0        1
1.0             4        0        1        2        1        0        0
";
    assert_eq!(format!("\n{}", table_text("rank", "rank")), table);
}

/// Each customer's row shows how many requests were sent to a server and how long all attempts took.
#[test]
fn by_customer() {
    let table = "
            asked  in time     late  refused   failed      cut     left    begun     slot s
ann             3        1        1        1        0        0        0        3        4.1
ben             4        0        1        1        1        0        1        3        0.3
";
    assert_eq!(format!("\n{}", table_text("customer", "customer")), table);
}

#[test]
fn by_reason() {
    let table = table_text("reason", "reason");
    for reason in [
        "late",
        "paused",
        "allowance",
        "broken",
        "server answered 500",
        "caller left",
    ] {
        let mut rows = table.lines();
        assert!(rows.any(|row| row.starts_with(reason)), "{reason}: {table}");
    }
}

/// Each second's row shows the number of requests at servers.
#[test]
fn by_second() {
    let table = table_text("second", "second");
    let running = |second: &str| {
        let row = table
            .lines()
            .find(|row| row.split_whitespace().next() == Some(second));
        let row = row.unwrap_or_else(|| panic!("no row for second {second}: {table}"));
        row.split_whitespace().last().map(ToOwned::to_owned)
    };
    assert_eq!(running("0").as_deref(), Some("-1"), "the clock jumped back");
    assert_eq!(running("1").as_deref(), Some("-1"));
    assert_eq!(
        running("2").as_deref(),
        Some("1"),
        "one request has not ended"
    );
}

#[test]
fn svg_and_errors() {
    let svg = run_losses("picture", &["--by", "customer", "--format", "svg"]);
    let svg = String::from_utf8(svg.stdout).expect("the output is UTF-8");
    assert!(svg.starts_with("<svg") && svg.contains(">ann<"), "{svg}");
    for options in [["--by", "weather"], ["--format", "gif"]] {
        let output = run_losses(options[1], &options);
        assert_eq!(output.status.code(), Some(2), "{output:?}");
    }
}
