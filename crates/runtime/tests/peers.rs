//! What becomes of requests whose server answers late, twice, for the one before, or half, or breaks its connection: on
//! real sockets, with the gateway that decides about further tries.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, StatusCode};
use ivygate_gateway::{Class, Effect, Gateway, Outcome, Plan, Retries, Settings};
use ivygate_runtime::{
    Answer, Ask, Clock, Driver, Head, Listing, Message, Payload, Reading, Seal, Target, TargetState,
    Upstream, UpstreamLimits,
};
use ivygate_standin::{read_message, until, Message as Read, Scripted};
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
        Outcome::Full
    } else if status == StatusCode::MISDIRECTED_REQUEST {
        Outcome::ConnectFailed
    } else if status.is_success() && !headers.contains_key(SEAL) {
        Outcome::Spoilt
    } else if status.is_server_error() {
        Outcome::Error
    } else {
        Outcome::Ok
    }
}

fn driver(server: SocketAddr) -> Rc<Driver> {
    let class = |name: &str, effect| Class {
        name: name.to_owned(),
        aim: 5_000.0,
        deadline: 20_000.0,
        worth: 1.0,
        late_worth: 0.5,
        effect,
        first_work: None,
        key_window: 0.0,
    };
    let plan = Plan {
        name: "all".to_owned(),
        rate: 0.0,
        burst: 0.0,
        open: 0,
        price: 1.0,
        extra_worth: 0.0,
        excess_cost: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    };
    let settings = Settings {
        gateways: 1,
        rank: 0,
        zone: "north".to_owned(),
        classes: vec![class("once", Effect::Unsafe), class("often", Effect::Safe)],
        plans: vec![plan],
        max_attempts: 5,
        hedging: true,
        probing: true,
        trial: true,
        retries: Retries { part: 1.0, store: 100.0, all: true },
        cancelling: true,
        list_on_request: false,
        max_retry_after: Some(5_000.0),
        meter_period: None,
        cross_zone_price: 0.0,
        cold_from: 1.0,
        warm_after: 0.0,
        fall_multiple: 2.0,
        fall_window: 1_000.0,
    };
    let limits = UpstreamLimits {
        connections: 100,
        connect: Duration::from_secs(5),
        keep: Duration::from_secs(60),
        idle: 4,
        rest: Duration::from_millis(1),
        buffer: 64 << 10,
    };
    let seal = Seal { echo: ID, most: 1 << 20, judge };
    let upstream = Upstream::new(limits, Reading::Sealed(seal));
    let driver = Driver::new(Gateway::new(settings, 7).expect("they are sound"), Clock::new(), upstream);
    let target = Target {
        uid: "i-1".to_owned(),
        endpoint: Some(server),
        az: "north".to_owned(),
        pod_group: 0,
        state: TargetState::Serving,
        capacity_hint: 8.0,
        boot_ms: 0.0,
        detour: 0.0,
        fence: None,
    };
    driver.list(Listing { rev: 1, all: true, targets: vec![target] });
    tokio::task::spawn_local(driver.clone().run_timers());
    driver
}

async fn ask(driver: &Rc<Driver>, class: &str, id: &str) -> Answer {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("h"));
    headers.insert(ID, HeaderValue::from_str(id).expect("a value"));
    let head = Head {
        id: id.into(),
        class: class.into(),
        plan: "all".into(),
        customer: "".into(),
        units: 1.0,
        width: 1,
        wait: 10_000.0,
        once: class == "once",
        zones: None,
        tries: Some(5),
    };
    let message = Message {
        method: Method::POST,
        uri: "/a/b".parse().expect("a path"),
        headers,
        body: Rc::new(Payload::whole(Bytes::from_static(b"body"))),
        tells: None,
    };
    let answer = driver.arrive(Ask { head, deadline: driver.now() + 10_000.0, message });
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
fn told(answer: &Answer) -> (u16, String) {
    match answer {
        Answer::Whole(answer) => {
            let echo = answer.headers().get(ID).map_or("", |id| id.to_str().expect("it is text"));
            assert_eq!(answer.body(), echo, "the body is that request's");
            (answer.status().as_u16(), echo.to_owned())
        }
        Answer::Refused(..) => (503, String::new()),
        Answer::Failed => (502, String::new()),
        Answer::TimeUp => (504, String::new()),
        Answer::Served(..) | Answer::Passed(_) => panic!("answers are read whole"),
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
