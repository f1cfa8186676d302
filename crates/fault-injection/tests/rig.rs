//! Tests of the harness: links forward data unchanged and inject their faults, errors in scenarios carry the line, and
//! processes end with the harness.

use ivygate_fault_injection::{
    built_in_scenarios, measure_link, report, DatagramLink, DirectionFaults, Figures, Flow, LimitAction,
    Link, RunResult, Scenario, Span, Trace, Verdict,
};
use std::io::Write;
use std::process::{Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Opens a link and returns it with the two ends of a connection through it.
async fn linked() -> (Link, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let link = Link::open(listener.local_addr().expect("an address"), |_| {}).await.expect("a link");
    let near = TcpStream::connect(link.address).await.expect("the link accepts");
    let (far, _) = listener.accept().await.expect("it comes through");
    (link, near, far)
}

/// Returns true if no data arrives for 100 ms; a link that held nothing back would deliver it at once.
async fn silent(stream: &mut TcpStream) -> bool {
    tokio::time::timeout(Duration::from_millis(100), stream.read_u8()).await.is_err()
}

fn cut() -> DirectionFaults {
    DirectionFaults { cut: true, ..DirectionFaults::default() }
}

#[tokio::test]
async fn link_without_faults_forwards_data_and_half_close() {
    let (_link, mut near, mut far) = linked().await;
    let sent: Vec<u8> = (0..3_000_000u32).map(|n| (n * 7 % 251) as u8).collect();
    let expected = sent.clone();
    let writing = tokio::spawn(async move {
        near.write_all(&sent).await.expect("it takes all");
        near.shutdown().await.expect("an end");
        let mut back = Vec::new();
        near.read_to_end(&mut back).await.expect("whole");
        back
    });
    let mut got = Vec::new();
    far.read_to_end(&mut got).await.expect("whole");
    assert!(got == expected);
    far.write_all(b"and back").await.expect("the other direction stands");
    drop(far);
    assert_eq!(writing.await.expect("no panic"), b"and back");
}

#[tokio::test]
async fn cut_holds_one_direction_and_delivers_held_data_afterwards() {
    let (link, mut near, mut far) = linked().await;
    link.set(DirectionFaults::default(), cut());
    near.write_u8(1).await.expect("it takes it");
    assert_eq!(far.read_u8().await.expect("the way there is open"), 1);
    far.write_u8(2).await.expect("it takes it");
    assert!(silent(&mut near).await);
    link.set(DirectionFaults::default(), DirectionFaults::default());
    assert_eq!(near.read_u8().await.expect("held, not lost"), 2);
}

#[tokio::test]
async fn reset_ends_open_and_new_connections_and_delay_is_kept() {
    let (link, mut near, mut far) = linked().await;
    let delay = Duration::from_millis(60);
    link.set(DirectionFaults { delay, ..DirectionFaults::default() }, DirectionFaults::default());
    let started_at = std::time::Instant::now();
    near.write_u8(1).await.expect("it takes it");
    assert_eq!(far.read_u8().await.expect("later"), 1);
    assert!(started_at.elapsed() >= delay);
    link.reset(true);
    assert!(near.read_u8().await.is_err() && far.read_u8().await.is_err());
    let mut fresh = TcpStream::connect(link.address).await.expect("the link accepts");
    assert!(fresh.read_u8().await.is_err());
}

#[tokio::test]
async fn rate_limits_data_and_change_corrupts_one_byte() {
    let (link, mut near, mut far) = linked().await;
    link.set(
        DirectionFaults { rate: Some(1000.0), ..DirectionFaults::default() },
        DirectionFaults::default(),
    );
    let started_at = std::time::Instant::now();
    near.write_all(&[7; 100]).await.expect("it takes them");
    let mut got = [0; 100];
    far.read_exact(&mut got).await.expect("they come");
    assert!(started_at.elapsed() >= Duration::from_millis(100) && got == [7; 100]);
    link.set(DirectionFaults { changed: 1.0, ..DirectionFaults::default() }, DirectionFaults::default());
    near.write_all(&[7; 100]).await.expect("it takes them");
    far.read_exact(&mut got).await.expect("they come");
    assert_eq!(got.iter().filter(|byte| **byte != 7).count(), 1);
}

#[tokio::test]
async fn connection_is_reset_stalled_or_half_closed_after_a_number_of_bytes() {
    for then in [LimitAction::Reset, LimitAction::Stall, LimitAction::End] {
        let (link, mut near, mut far) = linked().await;
        link.set(
            DirectionFaults::default(),
            DirectionFaults { after: Some((3, then)), ..DirectionFaults::default() },
        );
        far.write_all(b"abcdef").await.expect("it takes them");
        let mut got = [0; 3];
        near.read_exact(&mut got).await.expect("what comes before");
        assert_eq!(&got, b"abc");
        match then {
            LimitAction::Reset => {
                assert!(near.read_u8().await.is_err() && far.read_u8().await.is_err());
            }
            LimitAction::Stall => {
                assert!(silent(&mut near).await);
                link.set(DirectionFaults::default(), DirectionFaults::default());
                near.read_exact(&mut got).await.expect("the rest, once the fault is over");
                assert_eq!(&got, b"def");
            }
            LimitAction::End => {
                assert_eq!(near.read(&mut got).await.expect("an end in good order"), 0);
                near.write_u8(1).await.expect("the other direction stands");
                assert_eq!(far.read_u8().await.expect("and passes"), 1);
            }
        }
    }
}

#[tokio::test]
async fn datagram_link_forwards_loses_duplicates_corrupts_and_reorders() {
    let far = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let link = DatagramLink::open(far.local_addr().expect("an address")).await.expect("a link");
    let near = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    near.connect(link.address).await.expect("an address");
    let mut buffer = [0; 64];
    near.send(b"ask").await.expect("sent");
    let (read, from) = far.recv_from(&mut buffer).await.expect("it comes");
    assert_eq!(&buffer[..read], b"ask");
    far.send_to(b"answer", from).await.expect("sent");
    let read = near.recv(&mut buffer).await.expect("it comes back");
    assert_eq!(&buffer[..read], b"answer");

    // Sends 100 datagrams with a fault and one without, and returns those that arrive before the last one.
    let coming = async |flow: Flow| {
        link.set(flow, Flow::default());
        for number in 0..100u8 {
            near.send(&[number]).await.expect("sent");
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        link.set(Flow::default(), Flow::default());
        near.send(b"end").await.expect("sent");
        let (mut all, mut buffer) = (Vec::new(), [0; 64]);
        while far.recv(&mut buffer).await.expect("they come") == 1 {
            all.push(buffer[0]);
        }
        all
    };
    let sent: Vec<u8> = (0..100).collect();
    let sorted = |mut all: Vec<u8>| {
        all.sort_unstable();
        all
    };
    assert_eq!(sorted(coming(Flow::default()).await), sent);
    assert!(coming(Flow { cut: true, ..Flow::default() }).await.is_empty());
    let some = coming(Flow { lost: 0.5, ..Flow::default() }).await.len();
    assert!((10..90).contains(&some), "{some} of 100");
    assert_eq!(coming(Flow { twice: 1.0, ..Flow::default() }).await.len(), 200);
    assert_ne!(sorted(coming(Flow { changed: 1.0, ..Flow::default() }).await), sent);
    let overtaken = coming(Flow { jitter: Duration::from_millis(50), ..Flow::default() }).await;
    assert!(overtaken != sent && sorted(overtaken) == sent);
}

#[tokio::test]
async fn connection_without_a_server_is_reported_once() {
    let nobody = TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("an address");
    let link = Link::open(nobody, |_| {}).await.expect("a link");
    let mut near = TcpStream::connect(link.address).await.expect("a link takes all");
    let own = near.local_addr().expect("an address");
    assert!(near.read_u8().await.is_err());
    assert!(link.unserved(own) && !link.unserved(own));
}

#[tokio::test]
async fn stalled_reader_blocks_the_writer() {
    let (_link, mut near, far) = linked().await;
    let block = vec![0; 1 << 20];
    let mut taken = 0;
    // Buffers of the link and the system are bounded; a link without back-pressure would accept data forever.
    while taken < 256 {
        match tokio::time::timeout(Duration::from_millis(500), near.write_all(&block)).await {
            Ok(written) => written.expect("it stands"),
            Err(_) => break,
        }
        taken += 1;
    }
    assert!(taken < 256, "{taken} MiB were accepted for a reader that reads nothing");
    drop(far);
}

#[test]
fn built_in_scenarios_are_valid_and_errors_carry_the_line() {
    for (name, text) in built_in_scenarios() {
        let scenario = Scenario::parse(text).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(scenario.name, name);
    }
    let (_, sound) = built_in_scenarios()[1];
    for (from, to, line, what) in [
        ("for = \"3s\"", "for = \"3\"", 13, "no time such as"),
        ("servers = \"south\"", "servers = \"west\"", 16, "none of all, north, south"),
        ("servers = \"south\"", "servers = \"0,8\"", 16, "there is no number 8"),
        ("do = \"cut\"", "do = \"cute\"", 14, "'cute' is none of cut"),
        ("nodes = 6", "nodes = 41", 6, "nodes goes from 1 to 40"),
        ("at = \"3s\"", "at = \"30s\"", 11, "ends after the play"),
        ("rate = 300", "speed = 300", 8, "unknown field"),
        ("do = \"cut\"", "do = \"change\"\nways = \"there\"", 11, "only what comes back"),
        ("do = \"cut\"", "do = \"break\"", 11, "needs after, in bytes"),
        ("do = \"cut\"", "do = \"duty\"\npart = 0.5", 11, "period in ms goes from"),
        ("nodes = 6", "nodes = 6\njournal = true", 7, "only sidecars keep a journal"),
        ("nodes = 6", "nodes = 6\nsign-in = true", 7, "only sidecars ask a sign-in service"),
        ("do = \"cut\"", "do = \"cut\"\nlink = \"sign-in\"", 11, "there is no sign-in service"),
    ] {
        let error = Scenario::parse(&sound.replace(from, to)).expect_err(to);
        assert!(error.line == line && error.message.contains(what), "{to}: {error}");
    }
}

#[test]
fn resized_scenario_must_contain_the_nodes_of_its_steps() {
    let text =
        built_in_scenarios().into_iter().find(|(name, _)| *name == "everything-at-once").expect("shipped").1;
    let sound = Scenario::parse(text).expect("sound");
    assert_eq!(sound.clone().resized(Some(4), Some(99.0)).map(|s| (s.nodes, s.rate)), Ok((4, 99.0)));
    for (nodes, rate, what) in
        [(Some(3), None, "there are 3"), (Some(41), None, "from 1 to 40"), (None, Some(0.0), "rate goes")]
    {
        assert!(sound.clone().resized(nodes, rate).is_err_and(|error| error.contains(what)), "{what}");
    }
}

#[test]
fn report_contains_faults_findings_figures_and_charts_and_escapes_text() {
    let (_, text) = built_in_scenarios()[1];
    let scenario = Scenario::parse(&text.replace("zone-cut", "<b>")).expect("sound");
    let mut trace = Trace::default();
    trace.faults.push(("cut & co".into(), Span { from: 1000.0, to: 2000.0 }));
    let finding = ivygate_fault_injection::Finding { rule: "settles", description: "it <did> not".into() };
    let (verdict, findings) = (Verdict::Broken, vec![finding]);
    let mut played = RunResult {
        verdict,
        figures: Figures::default(),
        findings,
        trace,
        logs: vec![vec![(1.0, "<x>".into())]],
    };
    let page = report(&scenario, &played, 5);
    for part in
        ["&lt;b&gt;", "cut &amp; co", "it &lt;did&gt; not", "broken: 1 findings", "&lt;x&gt;", "Nothing."]
    {
        assert!(page.contains(part), "{part}");
    }
    assert!(!page.contains("<x>") && !page.contains("<svg"));
    let execution = ivygate_fault_injection::Execution {
        id: 1,
        server: 0,
        node: 0,
        at: 500.0,
        work: 1.0,
        effect: true,
        declined: false,
    };
    played.trace.executions.push(execution);
    assert_eq!(report(&scenario, &played, 5).matches("<svg").count(), 2, "executions by zone and by server");
}

#[test]
fn link_overhead_is_measured_with_many_connections() {
    let measured = measure_link(200, 50).expect("it measures");
    assert!(measured.connections == 200 && measured.linked[0] > 0.0, "{measured}");
}

#[test]
fn guard_kills_registered_processes_when_its_input_ends() {
    let rig = env!("CARGO_BIN_EXE_ivygate-fleet");
    let mut guard = Command::new(rig).arg("guard").stdin(Stdio::piped()).spawn().expect("the guard starts");
    let mut sleepers: Vec<_> =
        (0..2).map(|_| Command::new("sleep").arg("600").spawn().expect("it starts")).collect();
    let mut input = guard.stdin.take().expect("an input");
    let (kept, left) = (sleepers[0].id(), sleepers[1].id());
    writeln!(input, "+{kept}\n+{left}\n-{kept}").expect("the guard listens");
    // As when the harness is killed: the pipe ends without further lines.
    drop(input);
    assert!(guard.wait().expect("it ends").success());
    assert!(!sleepers[1].wait().expect("it was ended").success());
    assert!(sleepers[0].try_wait().expect("it can be asked").is_none(), "an unregistered process was killed");
    sleepers[0].kill().expect("it runs");
    let _ = sleepers[0].wait();
}
