//! What becomes of requests whose server answers late, twice, for the one before, or half, or breaks its connection: on
//! real sockets, with the gateway that decides about further tries.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode};
use ivygate_gateway::{Effect, Gateway, Outcome, Plan, RequestClass, RetryBudget, Settings};
use ivygate_runtime::{
    ClientRequest, Clock, Driver, EchoPolicy, FinalResponse, Head, ListedServer, ListedServerState,
    OutgoingRequest, RequestBody, ResponsePolicy, ServerListUpdate, Upstream, UpstreamLimits,
};
use ivygate_test_servers::{read_message, reset, until, Message as Read, Scripted};
use ivygate_time::Millis;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ID: HeaderName = HeaderName::from_static("ivygate-attempt-id");
const SEAL: &str = "ivygate-server-seal";
const NOT_RUN: &str = "ivygate-not-run";

fn judge(status: StatusCode, headers: &HeaderMap) -> Outcome {
    if headers.contains_key(NOT_RUN) {
        Outcome::Rejected
    } else if status == StatusCode::MISDIRECTED_REQUEST {
        Outcome::ConnectFailed
    } else if status.is_success() && !headers.contains_key(SEAL) {
        Outcome::Unusable
    } else if status.is_server_error() {
        Outcome::Error
    } else {
        Outcome::Ok
    }
}

fn driver(server: SocketAddr) -> Rc<Driver> {
    let class = |name: &str, effect| RequestClass {
        name: name.to_owned(),
        latency_target: 5_000.0,
        deadline: 20_000.0,
        value: 1.0,
        late_value: 0.5,
        effect,
        initial_work: None,
        key_window: 0.0,
    };
    let plan = Plan::unlimited("all");
    let settings = Settings {
        gateways: 1,
        rank: 0,
        zone: "north".to_owned(),
        classes: vec![class("once", Effect::Unsafe), class("often", Effect::Safe)],
        plans: vec![plan],
        max_attempts: 5,
        allow_hedging: true,
        allow_health_checks: true,
        allow_trial_requests: true,
        retry_budget: RetryBudget { ratio: 1.0, burst: 100.0, counts_never_run: true },
        allow_cancellation: true,
        subscribe_to_list: false,
        max_retry_after: Some(5_000.0),
        meter_period: None,
        cross_zone_cost: 0.0,
        slow_start_capacity: 1.0,
        slow_start_duration: 0.0,
        overload_factor: 2.0,
        overload_window: 1_000.0,
    };
    let limits = UpstreamLimits {
        max_connections: 100,
        connect_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(60),
        max_idle_per_server: 4,
        min_idle_time: Duration::from_millis(1),
        max_buffer_bytes: 64 << 10,
    };
    let seal = EchoPolicy { echo_header: ID, max_body_bytes: 1 << 20, classify: judge };
    let upstream = Upstream::new(limits, ResponsePolicy::Echo(seal));
    let driver = Driver::new(Gateway::new(settings, 7).expect("they are sound"), Clock::new(), upstream);
    let target = ListedServer {
        uid: "i-1".to_owned(),
        endpoint: Some(server),
        az: "north".to_owned(),
        pod_group: 0,
        state: ListedServerState::Serving,
        capacity_hint: 8.0,
        boot_ms: 0.0,
        distance_cost: 0.0,
        slow_start: None,
    };
    driver.update_servers(ServerListUpdate { rev: 1, all: true, targets: vec![target] });
    tokio::task::spawn_local(driver.clone().run_timers());
    driver
}

async fn ask(driver: &Rc<Driver>, class: &str, id: &str) -> FinalResponse {
    ask_for(driver, class, id, 10_000.0).await
}

async fn ask_for(driver: &Rc<Driver>, class: &str, id: &str, wait: Millis) -> FinalResponse {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("h"));
    headers.insert(ID, HeaderValue::from_str(id).expect("a value"));
    let head = Head {
        id: id.into(),
        class: class.into(),
        plan: "all".into(),
        customer: "".into(),
        units: 1.0,
        gateways: 1,
        timeout: wait,
        at_most_once: class == "once",
        zones: None,
        max_attempts: Some(5),
    };
    let message = OutgoingRequest {
        method: Method::POST,
        uri: "/a/b".parse().expect("a path"),
        headers,
        body: Rc::new(RequestBody::buffered(Bytes::from_static(b"body"))),
        set_attempt_headers: None,
    };
    let answer =
        driver.submit(ClientRequest { head, deadline: driver.now().plus_millis(wait), outgoing: message });
    answer.expect("no other has its id").await.expect("it is answered")
}

/// The ids of requests that ran, in order.
#[derive(Clone, Default)]
struct Runs(Arc<Mutex<Vec<String>>>);

impl Runs {
    fn add(&self, id: &str) {
        self.0.lock().expect("no panic").push(id.to_owned());
    }

    fn of(&self, id: &str) -> usize {
        self.0.lock().expect("no panic").iter().filter(|ran| *ran == id).count()
    }
}

fn id(request: &Read) -> String {
    request.header(ID.as_str()).expect("it has an id").to_owned()
}

/// A whole answer to a request of this id, its body being the id.
fn whole(status: &str, id: &str, more: &str) -> Vec<u8> {
    let echo = if id.is_empty() { String::new() } else { format!("Ivygate-Attempt-Id: {id}\r\n") };
    let length = id.len();
    format!("HTTP/1.1 {status}\r\n{echo}{more}Content-Length: {length}\r\n\r\n{id}").into_bytes()
}

const AWAY: &str = "Ivygate-Not-Run: full\r\n";
const SEALED: &str = "Ivygate-Server-Seal: s\r\n";

/// Runs and answers all that comes.
fn serve(stream: &mut BufReader<TcpStream>, runs: &Runs) {
    while let Some(request) = read_message(stream) {
        let id = id(&request);
        runs.add(&id);
        if stream.get_mut().write_all(&whole("200 OK", &id, SEALED)).is_err() {
            return;
        }
    }
}

fn write(stream: &mut BufReader<TcpStream>, bytes: &[u8]) {
    // Where the other side has left, the test sees what came of it.
    let _ = stream.get_mut().write_all(bytes);
}

/// What an answer tells a client: its status, and whose id and body it bears.
fn told(answer: &FinalResponse) -> (u16, String) {
    match answer {
        FinalResponse::Buffered(answer) => {
            let echo = answer.headers().get(ID).map_or("", |id| id.to_str().expect("it is text"));
            assert_eq!(answer.body(), echo, "the body is that request's");
            (answer.status().as_u16(), echo.to_owned())
        }
        FinalResponse::Refused(..) => (503, String::new()),
        FinalResponse::Failed => (502, String::new()),
        FinalResponse::TimedOut => (504, String::new()),
        FinalResponse::Served(..) | FinalResponse::Streamed(_) => panic!("answers are read whole"),
    }
}

type Script = fn(&mut BufReader<TcpStream>, &Runs);

/// One request that is served, and then one on the same connection, of which `script` is the server's part; other
/// connections serve whatever comes. Tells what the second was answered and how often it ran.
fn second(class: &str, script: Script) -> ((u16, String), usize) {
    let runs = Runs::default();
    let ran = runs.clone();
    let server = Scripted::start(move |stream, number| {
        if number > 0 {
            return serve(stream, &ran);
        }
        let first = read_message(stream).expect("a request");
        write(stream, &whole("200 OK", &id(&first), SEALED));
        script(stream, &ran);
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let told = tokio::task::LocalSet::new().block_on(&runtime, async {
        let driver = driver(server.address);
        assert_eq!(told(&ask(&driver, class, "a").await), (200, "a".to_owned()));
        told(&ask(&driver, class, "b").await)
    });
    drop(runtime);
    until("the server has seen its connections end", || {
        server.ended.load(std::sync::atomic::Ordering::SeqCst) == server.accepted()
    });
    (told, runs.of("b"))
}

/// Reads the second request and runs it.
fn run_second(stream: &mut BufReader<TcpStream>, runs: &Runs) {
    let request = read_message(stream).expect("a second request");
    runs.add(&id(&request));
}

#[test]
fn given_a_refusal_meant_for_the_request_before_when_it_comes_in_the_next_ones_place_then_that_is_not_taken_for_unrun(
) {
    let scripts: [Script; 4] = [
        |stream, runs| {
            run_second(stream, runs);
            write(stream, &whole("421 Misdirected Request", "a", ""));
        },
        |stream, runs| {
            run_second(stream, runs);
            write(stream, &whole("421 Misdirected Request", "", ""));
        },
        |stream, runs| {
            run_second(stream, runs);
            write(stream, &whole("503 Service Unavailable", "a", AWAY));
        },
        |stream, runs| {
            run_second(stream, runs);
            write(stream, &whole("503 Service Unavailable", "", AWAY));
        },
    ];
    for script in scripts {
        let ((status, _), ran) = second("once", script);
        assert_eq!((status, ran), (502, 1));
    }
}

#[test]
fn given_another_life_at_the_address_when_it_answers_421_without_an_id_on_a_new_connection_then_the_request_goes_on(
) {
    let runs = Runs::default();
    let ran = runs.clone();
    let server = Scripted::start(move |stream, number| {
        if number > 0 {
            return serve(stream, &ran);
        }
        read_message(stream).expect("a request");
        write(stream, &whole("421 Misdirected Request", "", ""));
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let told = tokio::task::LocalSet::new().block_on(&runtime, async {
        let driver = driver(server.address);
        told(&ask(&driver, "once", "a").await)
    });
    assert_eq!((told, runs.of("a")), ((200, "a".to_owned()), 1));
}
#[test]
fn given_a_server_that_turns_a_request_away_twice_when_it_gets_it_again_then_the_copy_does_not_hide_that_it_ran(
) {
    let runs = Runs::default();
    let ran = runs.clone();
    let server = Scripted::start(move |stream, number| {
        if number > 0 {
            return serve(stream, &ran);
        }
        let request = read_message(stream).expect("a request");
        let away = whole("503 Service Unavailable", &id(&request), AWAY);
        write(stream, &away);
        if let Some(request) = read_message(stream) {
            ran.add(&id(&request));
            write(stream, &away);
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let told = tokio::task::LocalSet::new().block_on(&runtime, async {
        let driver = driver(server.address);
        told(&ask(&driver, "once", "a").await)
    });
    assert_eq!((told, runs.of("a")), ((200, "a".to_owned()), 1));
}

/// Waits until a request lies in the socket, and leaves it there.
fn arrived(stream: &BufReader<TcpStream>) {
    let _ = stream.get_ref().peek(&mut [0]);
}

#[test]
fn given_a_server_in_trouble_when_a_request_must_not_run_twice_then_it_runs_once_at_most_and_is_answered_truly(
) {
    /// What the server does; the status then; how often the request runs, by its own answer or by another's.
    type Row = (&'static str, Script, u16, usize);
    let rows: [Row; 12] = [
        (
            "closes before it has read",
            |stream, _| {
                arrived(stream);
                reset(stream.get_ref());
            },
            502,
            0,
        ),
        (
            "reads, runs and resets",
            |stream, runs| {
                run_second(stream, runs);
                reset(stream.get_ref());
            },
            502,
            1,
        ),
        ("reads, runs and closes in good order", run_second, 502, 1),
        (
            "resets after half of the answer",
            |stream, runs| {
                run_second(stream, runs);
                write(stream, b"HTTP/1.1 200 OK\r\nIvygate-Attempt-Id: b\r\nIvygate-Server-Seal: s\r\n");
                write(stream, b"Content-Length: 9\r\n\r\nb");
                reset(stream.get_ref());
            },
            502,
            1,
        ),
        (
            "closes after half of a head",
            |stream, runs| {
                run_second(stream, runs);
                write(stream, b"HTTP/1.1 200 OK\r\nIvygate-Attempt-Id: b\r\n");
            },
            502,
            1,
        ),
        (
            "closes within a chunk",
            |stream, runs| {
                run_second(stream, runs);
                write(stream, b"HTTP/1.1 200 OK\r\nIvygate-Attempt-Id: b\r\nIvygate-Server-Seal: s\r\n");
                write(stream, b"Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n");
            },
            502,
            1,
        ),
        (
            "closes an answer whose end only the close would tell",
            |stream, runs| {
                run_second(stream, runs);
                write(stream, b"HTTP/1.1 200 OK\r\nIvygate-Attempt-Id: b\r\nIvygate-Server-Seal: s\r\n\r\nb");
            },
            502,
            1,
        ),
        (
            "answers the request before once more, and then this one",
            |stream, runs| {
                run_second(stream, runs);
                write(stream, &whole("200 OK", "a", SEALED));
                write(stream, &whole("200 OK", "b", SEALED));
            },
            502,
            1,
        ),
        (
            "answers the one before in the same moment as it asks for it",
            |stream, runs| {
                arrived(stream);
                write(stream, &whole("200 OK", "a", SEALED));
                run_second(stream, runs);
            },
            502,
            1,
        ),
        (
            "answers with what is no answer",
            |stream, runs| {
                run_second(stream, runs);
                write(stream, b"\x16\x03\x01 no HTTP at all\r\n\r\n");
            },
            502,
            1,
        ),
        (
            "answers twice",
            |stream, runs| {
                run_second(stream, runs);
                let answer = whole("200 OK", "b", SEALED);
                write(stream, &[&answer[..], &answer].concat());
                serve(stream, runs);
            },
            200,
            1,
        ),
        (
            "says that it did not run",
            |stream, _| {
                read_message(stream).expect("a second request");
                write(stream, &whole("503 Service Unavailable", "b", AWAY));
            },
            200,
            1,
        ),
    ];
    for (what, script, status, ran) in rows {
        let ((told, id), runs) = second("once", script);
        assert_eq!((told, runs), (status, ran), "{what}");
        assert!(told != 200 || id == "b", "{what}: it bears '{id}'");
    }
}

#[test]
fn given_a_server_in_trouble_when_a_request_may_run_again_then_it_is_sent_anew_and_bears_its_own_answer() {
    let scripts: [Script; 4] = [
        |stream, runs| {
            run_second(stream, runs);
            reset(stream.get_ref());
        },
        |stream, runs| {
            run_second(stream, runs);
            write(stream, &whole("200 OK", "a", SEALED));
        },
        |stream, runs| {
            run_second(stream, runs);
            write(stream, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nIvygate-Attempt-Id: b\r\n\r\nb");
        },
        |stream, runs| {
            run_second(stream, runs);
            write(
                stream,
                &whole("200 OK", "b", "Ivygate-Server-Seal: s\r\nContent-Encoding: gzip\r\n")[..40],
            );
        },
    ];
    for script in scripts {
        assert_eq!(second("often", script), ((200, "b".to_owned()), 2));
    }
}

/// Two requests one behind the other, with what the server does to the connection between them. Tells the answer to the
/// second, how often it ran, and how many connections were made.
fn between(more: &'static str, script: Script) -> ((u16, String), usize, usize) {
    let runs = Runs::default();
    let (done, is_done) = std::sync::mpsc::channel();
    let (ran, done) = (runs.clone(), Mutex::new(done));
    let server = Scripted::start(move |stream, number| {
        if number > 0 {
            return serve(stream, &ran);
        }
        let first = read_message(stream).expect("a request");
        write(stream, &whole("200 OK", &id(&first), &format!("{SEALED}{more}")));
        script(stream, &ran);
        let closed = stream.get_ref().try_clone().expect("a handle");
        let _ = closed.shutdown(std::net::Shutdown::Both);
        done.lock().expect("no panic").send(()).expect("the test waits");
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let told = tokio::task::LocalSet::new().block_on(&runtime, async {
        let driver = driver(server.address);
        assert_eq!(told(&ask(&driver, "once", "a").await), (200, "a".to_owned()));
        // The node hears nothing meanwhile: what comes is met by its look at the connection.
        is_done.recv().expect("the server is through");
        told(&ask(&driver, "once", "b").await)
    });
    (told, runs.of("b"), server.accepted())
}

#[test]
fn given_a_kept_connection_that_was_closed_or_brought_more_when_the_next_request_comes_then_it_takes_another()
{
    let scripts: [Script; 3] = [
        |_, _| {},
        |stream, _| reset(stream.get_ref()),
        |stream, _| write(stream, &whole("200 OK", "a", SEALED)),
    ];
    for script in scripts {
        assert_eq!(between("", script), ((200, "b".to_owned()), 1, 2));
    }
}

#[test]
fn given_a_silent_server_when_the_time_is_up_then_its_late_answer_reaches_nobody() {
    let runs = Runs::default();
    let ran = runs.clone();
    let server = Scripted::start(move |stream, number| {
        if number > 0 {
            return serve(stream, &ran);
        }
        run_second(stream, &ran);
        // Ends when the node has closed the connection: whatever is written now has nobody to read it.
        assert!(read_message(stream).is_none(), "nothing else comes on it");
        write(stream, &whole("200 OK", "a", SEALED));
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let driver = driver(server.address);
        assert_eq!(told(&ask_for(&driver, "once", "a", 300.0).await), (504, String::new()));
        assert_eq!(told(&ask(&driver, "often", "b").await), (200, "b".to_owned()));
    });
    assert_eq!((runs.of("a"), runs.of("b")), (1, 1));
}

#[test]
fn given_a_server_that_tells_how_long_it_keeps_a_connection_when_that_is_nearly_over_then_the_next_takes_another(
) {
    // What it tells; the time between two requests; the connections that they take.
    let rows = [
        ("", 59_000, 1),
        ("", 61_000, 2),
        ("Keep-Alive: timeout=5, max=100\r\n", 4_400, 1),
        ("Keep-Alive: max=100, timeout=5\r\n", 4_600, 2),
        ("Keep-Alive: timeout=1\r\n", 500, 1),
        ("Keep-Alive: timeout=1\r\n", 700, 2),
        ("Keep-Alive: timeout=90\r\n", 61_000, 2),
        ("Keep-Alive: timeout=soon\r\n", 59_000, 1),
    ];
    for (told_time, pause, connections) in rows {
        let server = Scripted::start(move |stream, _| {
            while let Some(request) = read_message(stream) {
                write(stream, &whole("200 OK", &id(&request), &format!("{SEALED}{told_time}")));
            }
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let driver = driver(server.address);
            assert_eq!(told(&ask(&driver, "once", "a").await), (200, "a".to_owned()));
            tokio::time::pause();
            tokio::time::advance(Duration::from_millis(pause)).await;
            tokio::time::resume();
            assert_eq!(told(&ask(&driver, "once", "b").await), (200, "b".to_owned()));
        });
        assert_eq!(server.accepted(), connections, "{told_time}{pause}");
    }
}
