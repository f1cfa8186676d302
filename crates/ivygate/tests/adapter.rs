//! The adapter's protocol on standard input and output: replies, and errors for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = r#"{"allowed":{"cancel":true,"mayProbe":false,"mostTries":3,"retryAfter":true,"maxRetryAfterMs":500,"secondCopies":false,"later":1},"az":"z","balancers":1,"classes":[{"name":"c","aimMs":1000,"deadlineMs":3000,"worth":1,"effect":"safe"}],"contracts":[{"name":"p","refill":5,"mostAtOnce":10,"worthFactor":1}],"discovery":"automatic","prices":{},"rank":0,"rules":{"coldFrom":0.2,"warmAfterMs":9000,"fallMultiple":2,"overloadForMs":1000},"stepMs":2}"#;
const START: &str = "ledger buffer=0 rowsIn=1\n\
    item server=9 campus=z model=m unitGroup=0 status=Ready units=1\n\
    membership node=0 scope=remembered buffer=0 rev=1\n";
const INBOUND: &str =
    "inbound node=0 requestId=t/a cls=c gradeOfService=p holder=h deadlineMs=3001 priceUnits=1 width=1";

fn run(input: &str) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_ivygate-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read all input.
    let _ = adapter.stdin.take().expect("standard input").write_all(input.as_bytes());
    adapter.wait_with_output().expect("the adapter ends")
}

fn with_started_node(rest: &str) -> String {
    format!("mark wallMs=1.0\nenlist node=0 salt=7 setup={SETUP}\n{START}end\nmark wallMs=2.0\n{rest}\nend\n")
}

#[test]
fn request_is_sent_to_the_listed_server() {
    let output = run(&with_started_node(INBOUND));
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    assert!(output.status.success());
    assert!(text.contains("hand_off node=0 requestId=t/a server=9 cutAtMs="), "{text}");
    assert_eq!(text.lines().filter(|l| *l == "end").count(), 2);
}

#[test]
fn instance_can_stop_and_restart_within_a_batch() {
    let restart = format!("exit node=0\nenlist node=0 salt=8 setup={SETUP}\n{START}{INBOUND}");
    assert!(run(&with_started_node(&restart)).status.success());
}

#[test]
fn errors_for_malformed_input_name_line_and_field() {
    let cases = [
        (INBOUND.replace("deadlineMs=3001", "deadlineMs=soon"), "line 8: inbound: field 'deadlineMs'"),
        (INBOUND.replace(" cls=c", ""), "line 8: inbound: field 'cls': is missing"),
        (INBOUND.replace("node=0", "node=5"), "field 'node': not enlisted"),
        ("surprise node=0".into(), "unknown message 'surprise'"),
        ("inbound node".into(), "expected name=value"),
        ("item server=1".into(), "no ledger is open"),
        ("ledger buffer=0 rowsIn=2\ntimeout_fired node=0 ctx=0".into(), "line 9: ledger: field 'rowsIn'"),
        ("membership node=0 scope=all buffer=7 rev=1".into(), "field 'buffer'"),
        ("membership node=0 scope=odd buffer=0 rev=1".into(), "field 'scope'"),
        ("checked node=0 server=99999999999 code=100 elapsedMs=1".into(), "field 'server': is too large"),
        ("done node=0 requestId=t/a copy=0 server=9 code=7 elapsedMs=1".into(), "field 'code'"),
        (format!("enlist node=1 salt=1 setup={}", SETUP.replace("\"rank\":0,", "")), "`rank`"),
        (format!("enlist node=1 salt=1 setup={}", SETUP.replace("\"refill\":5", "\"refill\":-5")), "plan p"),
    ];
    for (line, expected) in cases {
        let output = run(&with_started_node(&line));
        let error = String::from_utf8(output.stderr).expect("UTF-8");
        assert!(!output.status.success() && error.contains(expected), "{line}: {error}");
        assert!(!error.contains("panicked"), "{error}");
    }
}

#[test]
fn end_of_input_within_a_batch_is_an_error() {
    assert!(!run("mark wallMs=1.0\n").status.success());
    assert!(run("").status.success());
}
