//! The driver owns the [`Gateway`]: it feeds events to it, executes its actions, and holds the timers and the
//! open requests.
//!
//! Everything runs on one thread. Events caused by an action are queued and handled in order, never
//! recursively.

use crate::clock::Clock;
use crate::request_body::{AttemptBody, RequestBody, SendProgress};
use crate::send_guard::SendGuard;
use crate::server_list::{ListedServerState, ServerListUpdate};
use crate::streamed::Streamed;
use crate::upstream::{AttemptEnd, AttemptProgress, ServerResponse, Upstream};
use bytes::Bytes;
use hashbrown::HashMap;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use ivygate_gateway::{
    Action, Arrival, AttemptResult, Event, Gateway, ListKind, Load, Outcome, RejectReason, RequestId,
    ServerEntry, ServerId, ServerState, Zones,
};
use ivygate_time::{Millis, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;
use tokio::time::sleep_until;

/// Margin for the network before a client's deadline: the gateway works with a deadline that is this much
/// earlier.
const DECISION_MARGIN: Duration = Duration::from_millis(12);
/// Time before the client's deadline at which it gets a response in any case. Later than any decision of the
/// gateway, and early enough for the response to arrive.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(5);
/// Interval at which expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// A process whose sweep is overdue by this was paused. The longest pause that stays undetected, plus one
/// interval, is shorter than the grace period of a drain.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);
/// Time after a pause during which no request is sent: unread input may say that a server is draining.
const RESUME_DELAY: Duration = Duration::from_millis(20);

/// The checked contents of a request head.
#[derive(Debug, PartialEq)]
pub struct Head {
    /// Id of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: Arc<str>,
    /// Plan of the customer.
    pub plan: Arc<str>,
    /// Customer.
    pub customer: Arc<str>,
    /// Units that the request takes from the quota.
    pub units: f64,
    /// Number of gateways through which the customer's requests may come.
    pub gateways: u32,
    /// Time for which the client waits for the response.
    pub timeout: Millis,
    /// The request must not run twice.
    pub at_most_once: bool,
    /// Zones whose servers may get the request; `None` for all.
    pub zones: Option<Zones>,
    /// Maximum number of attempts, if it is lower than that of the settings.
    pub max_attempts: Option<u32>,
}

/// A client's request, parsed and checked.
pub struct ClientRequest {
    /// Contents of its head.
    pub head: Head,
    /// Time at which the client gives up.
    pub deadline: Timestamp,
    /// The request as it is forwarded to an app server.
    pub outgoing: OutgoingRequest,
}

/// A request as it is forwarded to an app server.
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without those that belong to the client's connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Rc<RequestBody>,
    /// Sets further headers for each attempt, just before the first byte is written.
    pub set_attempt_headers: Option<SetAttemptHeaders>,
}

/// Sets the headers of a request that depend on the attempt: from the time left for it and the server's name
/// on the list.
pub type SetAttemptHeaders = fn(&mut HeaderMap, Millis, &str);

impl OutgoingRequest {
    fn for_attempt(
        &self,
        time_left: Millis,
        server: &str,
        progress: &Rc<SendProgress>,
    ) -> Request<AttemptBody> {
        let mut request = Request::new(self.body.for_attempt(progress));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        if let Some(set_attempt_headers) = self.set_attempt_headers {
            set_attempt_headers(request.headers_mut(), time_left, server);
        }
        request
    }
}

/// The final response to a request. Each request gets exactly one.
#[derive(Debug)]
pub enum FinalResponse {
    /// The request was served; the body and its content type, if the server sent one.
    Served(Bytes, Option<HeaderValue>),
    /// A server's response, successful or not, that is forwarded while it is received.
    Streamed(Box<Response<Streamed>>),
    /// A server's response, successful or not, that was received completely.
    Buffered(Box<Response<Bytes>>),
    /// The request was refused: the time after which the client should retry (0 for no advice), the reason,
    /// and whether an attempt had been made before.
    Refused(Millis, RejectReason, bool),
    /// The request failed.
    Failed,
    /// The request failed because its time was up.
    TimedOut,
}

impl From<ServerResponse> for FinalResponse {
    fn from(response: ServerResponse) -> Self {
        match response {
            ServerResponse::Streamed(response) => FinalResponse::Streamed(response),
            ServerResponse::Buffered(response) => FinalResponse::Buffered(response),
        }
    }
}

/// Records attempts of requests that must not run twice: each before it is sent, and its result.
pub trait AttemptRecorder {
    /// Returns whether attempts of this request are recorded although it may run twice.
    fn records_repeatable(&self, id: &RequestId) -> bool;

    /// Records that an attempt is about to be sent. Returns whether it was recorded; if not, nothing is sent.
    fn record_send<'a>(
        &'a self,
        id: &'a RequestId,
        attempt: u32,
        server: SocketAddr,
        now: Timestamp,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>>;

    /// Records the result of a recorded attempt: the status of its response, or that it certainly did not
    /// run, or neither.
    fn record_result(&self, id: &RequestId, attempt: u32, never_ran: bool, status: Option<u16>);
}

/// Decision on a request that is not sent by this process.
#[derive(Debug)]
pub enum Admission {
    /// The request is admitted; the address of the server that would be chosen for it.
    Admitted(Option<SocketAddr>),
    /// The request is refused; the time after which the client should retry, and the reason.
    Refused(Millis, RejectReason),
}

/// A request from its submission until it has its final response and all its attempts have ended.
struct OpenRequest {
    outgoing: Rc<OutgoingRequest>,
    /// The request must not be sent again after it has been sent.
    at_most_once: bool,
    deadline: Timestamp,
    /// Channel for the final response; `None` once that is given.
    response: Option<oneshot::Sender<FinalResponse>>,
    attempts: Vec<Attempt>,
    /// A server's response to a failed attempt, forwarded unless a better one follows.
    fallback: Option<ServerResponse>,
    /// The last attempt timed out.
    timed_out: bool,
    deadline_timer: TimerKey,
}

struct Attempt {
    server: ServerId,
    sent_at: Timestamp,
    progress: Rc<AttemptProgress>,
    task: AbortHandle,
    timer: TimerKey,
    is_ended: bool,
}

/// Sorts timers by time in microseconds of Unix time; the second number makes each key unique.
type TimerKey = (u64, u64);

enum Timer {
    /// A timer of the gateway, with its token.
    Gateway(u64),
    /// The time of an attempt is up.
    AttemptTimeout(RequestId, u32),
    /// The deadline of a request is near.
    Deadline(RequestId),
    /// Expired idle connections are to be closed.
    Sweep,
}

struct KnownServer {
    uid: String,
    address: SocketAddr,
    state: ListedServerState,
}

/// Makes the decisions: a [`Gateway`], or a wrapper around one.
pub trait DecisionEngine {
    /// Handles one event and appends the resulting actions to `actions`, in order.
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>);
}

impl DecisionEngine for Gateway {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Gateway::handle(self, now, event, actions);
    }
}

struct State {
    gateway: Box<dyn DecisionEngine>,
    requests: HashMap<RequestId, OpenRequest>,
    timers: BTreeMap<TimerKey, Timer>,
    last_timer: u64,
    servers: HashMap<ServerId, KnownServer>,
    server_ids: HashMap<String, ServerId>,
    last_server_id: ServerId,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

/// Connects the gateway to clients, app servers, discovery and the clock.
pub struct Driver {
    state: RefCell<State>,
    upstream: Rc<Upstream>,
    clock: Clock,
    /// Notified when a timer becomes the first one.
    first_timer_changed: Notify,
    /// Time at which the next sweep is due.
    sweep_due: Cell<Timestamp>,
    /// No request is sent before this time, since the process was paused.
    paused_until: Cell<Timestamp>,
    is_retired: Cell<bool>,
    /// Records attempts of requests that must not run twice before they are sent.
    recorder: RefCell<Option<Rc<dyn AttemptRecorder>>>,
    /// Asked before each attempt whether it may be sent.
    send_guard: RefCell<Option<Rc<dyn SendGuard>>>,
}

impl Driver {
    /// Creates a driver without open requests.
    pub fn new(gateway: impl DecisionEngine + 'static, clock: Clock, upstream: Rc<Upstream>) -> Rc<Self> {
        let state = State {
            gateway: Box::new(gateway),
            requests: HashMap::new(),
            timers: BTreeMap::new(),
            last_timer: 0,
            servers: HashMap::new(),
            server_ids: HashMap::new(),
            last_server_id: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        let driver = Rc::new(Self {
            state: RefCell::new(state),
            upstream,
            clock,
            first_timer_changed: Notify::new(),
            sweep_due: Cell::new(clock.now() + SWEEP_INTERVAL),
            paused_until: Cell::new(Timestamp::DISTANT_PAST),
            is_retired: Cell::new(false),
            recorder: RefCell::default(),
            send_guard: RefCell::default(),
        });
        driver.set_timer(&mut driver.state.borrow_mut(), clock.now() + SWEEP_INTERVAL, Timer::Sweep);
        driver
    }

    /// Sets the recorder for attempts of requests that must not run twice.
    pub fn set_recorder(&self, recorder: Rc<dyn AttemptRecorder>) {
        self.recorder.replace(Some(recorder));
    }

    /// Sets the condition under which attempts may be sent.
    pub fn set_send_guard(&self, send_guard: Rc<dyn SendGuard>) {
        self.send_guard.replace(Some(send_guard));
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns whether at least one app server accepts requests.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().servers.values().any(|s| s.state == ListedServerState::Serving)
    }

    /// Submits a request and returns the receiver of its final response.
    ///
    /// Returns `None` if a request with the same id is still open: one run would have to answer two requests,
    /// or the request would run twice.
    pub fn submit(self: &Rc<Self>, request: ClientRequest) -> Option<oneshot::Receiver<FinalResponse>> {
        let mut state = self.state.borrow_mut();
        let head = request.head;
        if state.requests.contains_key(&head.id) {
            return None;
        }
        let (response, receiver) = oneshot::channel();
        let deadline_timer = self.set_timer(
            &mut state,
            request.deadline - FINAL_RESPONSE_MARGIN,
            Timer::Deadline(head.id.clone()),
        );
        let deadline = request.deadline - DECISION_MARGIN;
        let open = OpenRequest {
            outgoing: Rc::new(request.outgoing),
            at_most_once: head.at_most_once,
            deadline,
            response: Some(response),
            attempts: Vec::new(),
            fallback: None,
            timed_out: false,
            deadline_timer,
        };
        state.requests.insert(head.id.clone(), open);
        state.events.push_back(Event::Arrival(Arrival {
            request: head.id,
            class: head.class,
            plan: head.plan,
            customer: head.customer,
            deadline,
            units: head.units,
            gateways: head.gateways,
            zones: head.zones,
            max_attempts: head.max_attempts,
        }));
        self.process_events(&mut state);
        Some(receiver)
    }

    /// Decides on a request that is not sent by this process. Quotas, rate limits, servers and capacity are
    /// checked as for a request that is sent from here, and its units are taken. No other request may have
    /// the id `head.id`.
    ///
    /// The result of the request stays unknown, so it counts as in flight for no time, and nothing is learned
    /// about the server.
    pub fn admit(self: &Rc<Self>, head: Head) -> Admission {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let id = head.id.clone();
        let arrival = Event::Arrival(Arrival {
            request: head.id,
            class: head.class,
            plan: head.plan,
            customer: head.customer,
            deadline: now.plus_millis(head.timeout),
            units: head.units,
            gateways: head.gateways,
            zones: head.zones,
            max_attempts: head.max_attempts,
        });
        let mut actions = Vec::new();
        state.gateway.handle(now, arrival, &mut actions);
        let mut admission = Admission::Refused(0.0, RejectReason::Overload);
        for action in actions {
            match action {
                Action::Send { request, server, .. } if request == id => {
                    admission = Admission::Admitted(state.servers.get(&server).map(|s| s.address));
                    state.events.push_back(Event::AttemptEnded(AttemptResult {
                        request,
                        attempt: 0,
                        server,
                        outcome: Outcome::Cancelled,
                        elapsed: 0.0,
                        is_final: true,
                        metered_percent: None,
                        load: Load::default(),
                    }));
                }
                Action::Reject { request, retry_after, reason } if request == id => {
                    admission = Admission::Refused(retry_after, reason);
                }
                other => self.execute(&mut state, other, now),
            }
        }
        self.process_events_at(&mut state, now);
        admission
    }

    /// Ends a request whose client has disconnected: its attempts are given up.
    pub fn client_gone(self: &Rc<Self>, id: &RequestId) {
        let mut state = self.state.borrow_mut();
        let Some(open) = state.requests.get_mut(id) else { return };
        if open.response.take().is_some() {
            self.abandon(&mut state, id);
        }
    }

    /// Tells the gateway that a request needs no response any more.
    fn abandon(self: &Rc<Self>, state: &mut State, id: &RequestId) {
        state.events.push_back(Event::ClientGone { request: id.clone() });
        self.process_events(state);
        state.remove_if_ended(id);
    }

    /// Passes an event to the gateway that concerns neither a request nor a server.
    pub fn notify(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        state.events.push_back(event);
        self.process_events(&mut state);
    }

    /// Applies an update of the server list.
    pub fn update_servers(self: &Rc<Self>, update: ServerListUpdate) {
        let mut state = self.state.borrow_mut();
        let kind = if update.all { ListKind::Full } else { ListKind::Changes };
        if update.all {
            let listed: HashSet<&str> = update.targets.iter().map(|t| t.uid.as_str()).collect();
            let removed: Vec<_> = state
                .servers
                .iter()
                .filter(|(_, s)| !listed.contains(s.uid.as_str()))
                .map(|(id, _)| *id)
                .collect();
            for server in removed {
                self.remove(&mut state, server);
            }
        }
        let mut entries = Vec::with_capacity(update.targets.len());
        for target in update.targets {
            let known = state.server_ids.get(&target.uid).copied();
            let is_deleted = target.state == ListedServerState::Deleted;
            let server = match known {
                Some(server) => server,
                None if is_deleted => continue,
                None => {
                    state.last_server_id += 1;
                    state.last_server_id
                }
            };
            entries.push(ServerEntry {
                server,
                zone: target.az,
                cell: target.pod_group,
                state: match target.state {
                    ListedServerState::Serving => ServerState::Ready,
                    ListedServerState::Draining => ServerState::Draining,
                    ListedServerState::Deleted => ServerState::Gone,
                },
                weight: target.capacity_hint,
                started_at: Some(target.boot_ms).filter(|ms| *ms > 0.0).map(Timestamp::from_millis),
                distance_cost: target.distance_cost,
                slow_start: target.slow_start,
            });
            match target.endpoint {
                Some(address) if !is_deleted => {
                    if target.state == ListedServerState::Draining {
                        self.upstream.close_idle(server);
                    }
                    state.server_ids.insert(target.uid.clone(), server);
                    let known = KnownServer { uid: target.uid, address, state: target.state };
                    state.servers.insert(server, known);
                }
                _ => self.remove(&mut state, server),
            }
        }
        state.events.push_back(Event::List { kind, servers: entries.into() });
        self.process_events(&mut state);
    }

    fn remove(&self, state: &mut State, server: ServerId) {
        self.upstream.close_idle(server);
        if let Some(known) = state.servers.remove(&server) {
            state.server_ids.remove(&known.uid);
        }
    }

    /// Runs the timers, until the driver is retired and has no open request.
    pub async fn run_timers(self: Rc<Self>) {
        while !self.is_retired.get() || self.open_requests() > 0 {
            let first = self.state.borrow().timers.keys().next().copied();
            match first {
                Some((at, _)) => {
                    tokio::select! {
                        () = sleep_until(self.clock.instant(Timestamp::from_micros(at))) => self.fire_timers(),
                        () = self.first_timer_changed.notified() => {}
                    }
                }
                None => self.first_timer_changed.notified().await,
            }
        }
    }

    /// Detects whether the process was paused, and if so delays requests until it has read its input.
    fn detect_pause(&self, now: Timestamp) {
        if now > self.sweep_due.get() + PAUSE_THRESHOLD {
            self.sweep_due.set(now + SWEEP_INTERVAL);
            self.paused_until.set(now + RESUME_DELAY);
        }
    }

    /// Waits, if the process was paused, until it has read its input.
    async fn wait_for_resume(&self) {
        let now = self.clock.now();
        self.detect_pause(now);
        if now < self.paused_until.get() {
            sleep_until(self.clock.instant(self.paused_until.get())).await;
        }
    }

    fn fire_timers(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        self.detect_pause(now);
        let now = now.whole_micros();
        // Only timers that are due now: one that is set meanwhile for a past time fires in the next round.
        let later = state.timers.split_off(&(now + 1, 0));
        for (_, timer) in std::mem::replace(&mut state.timers, later) {
            match timer {
                Timer::Gateway(token) => state.events.push_back(Event::Timer { token }),
                Timer::AttemptTimeout(id, number) => {
                    self.give_up(&mut state, &id, number, Outcome::Timeout, self.clock.now());
                }
                Timer::Deadline(id) => {
                    // The client gets a response in time even if the gateway still waits for something.
                    if state.respond(&id, FinalResponse::TimedOut) {
                        self.abandon(&mut state, &id);
                    }
                }
                Timer::Sweep => {
                    self.upstream.close_expired();
                    for server in self.upstream.take_failed_streams() {
                        let (outcome, load) = (Outcome::Reset, Load::default());
                        state.events.push_back(Event::HealthChecked { server, outcome, load });
                    }
                    let due = self.clock.now() + SWEEP_INTERVAL;
                    self.sweep_due.set(due);
                    self.set_timer(&mut state, due, Timer::Sweep);
                }
            }
            self.process_events(&mut state);
        }
    }

    fn set_timer(&self, state: &mut State, at: Timestamp, timer: Timer) -> TimerKey {
        state.last_timer += 1;
        let key = (at.whole_micros(), state.last_timer);
        state.timers.insert(key, timer);
        if state.timers.keys().next() == Some(&key) {
            self.first_timer_changed.notify_one();
        }
        key
    }

    /// Passes the queued events to the gateway and executes its actions, until no event is left.
    fn process_events(self: &Rc<Self>, state: &mut State) {
        // The clock is read once, since the consequences of one event take only microseconds.
        let now = self.clock.now();
        self.process_events_at(state, now);
    }

    fn process_events_at(self: &Rc<Self>, state: &mut State, now: Timestamp) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(state, action, now);
            }
            state.actions = actions;
        }
    }

    fn execute(self: &Rc<Self>, state: &mut State, action: Action, now: Timestamp) {
        match action {
            Action::Send { request, server, give_up_at } => {
                self.send(state, request, server, give_up_at, now);
            }
            Action::Reject { request, retry_after, reason } => {
                let was_attempted =
                    state.requests.get(&request).is_some_and(|open| !open.attempts.is_empty());
                state.respond(&request, FinalResponse::Refused(retry_after, reason, was_attempted));
                state.remove_if_ended(&request);
            }
            Action::Fail { request } => {
                let timed_out = state.requests.get(&request).is_some_and(|open| open.timed_out);
                let response = if timed_out { FinalResponse::TimedOut } else { FinalResponse::Failed };
                state.respond(&request, response);
                state.remove_if_ended(&request);
            }
            Action::Cancel { request, attempt } => {
                self.give_up(state, &request, attempt, Outcome::Cancelled, now);
            }
            Action::Timer { token, at } => {
                self.set_timer(state, at, Timer::Gateway(token));
            }
            Action::Log { text } => eprintln!("{text}"),
            Action::CheckHealth { server } => self.check_health(state, server),
            // The server list is pushed without a subscription.
            Action::Subscribe => {}
        }
    }

    /// Starts a health check of a server: whether it accepts a connection.
    fn check_health(self: &Rc<Self>, state: &State, server: ServerId) {
        // The platform's protocol has no health checks.
        let known = state.servers.get(&server).filter(|_| self.upstream.supports_health_checks());
        let Some(known) = known else { return };
        let (driver, address) = (self.clone(), known.address);
        tokio::task::spawn_local(async move {
            let outcome = driver.upstream.check_health(address).await;
            let mut state = driver.state.borrow_mut();
            state.events.push_back(Event::HealthChecked { server, outcome, load: Load::default() });
            driver.process_events(&mut state);
        });
    }

    /// Retires this driver, to which no request may be submitted any more. Open requests continue for the
    /// grace period; then all servers are removed, which ends the requests and their attempts.
    pub fn retire(self: &Rc<Self>, grace: Millis) {
        self.is_retired.set(true);
        self.first_timer_changed.notify_one();
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            sleep_until(driver.clock.instant(driver.now().plus_millis(grace))).await;
            driver.update_servers(ServerListUpdate { rev: 0, all: true, targets: Vec::new() });
        });
    }

    /// Returns the number of requests that have no response yet, or an attempt in flight.
    pub fn open_requests(&self) -> usize {
        self.state.borrow().requests.len()
    }

    fn send(
        self: &Rc<Self>,
        state: &mut State,
        id: RequestId,
        server: ServerId,
        give_up_at: Timestamp,
        now: Timestamp,
    ) {
        let State { requests, servers, last_timer, timers, .. } = state;
        let Some(open) = requests.get_mut(&id) else { return };
        let number = open.attempts.len() as u32;
        let give_up_at =
            if give_up_at.as_millis() > 0.0 { give_up_at.min(open.deadline) } else { open.deadline };
        // A streamed body cannot be sent again, so it is no use to give up in time for another attempt.
        let give_up_at = if open.outgoing.body.is_streamed() { open.deadline } else { give_up_at };
        open.fallback = None;
        let sent_before = open.attempts.iter().any(|attempt| attempt.server == server);
        let progress = Rc::new(AttemptProgress::default());
        let known = servers.get(&server).map(|s| (s.address, s.uid.clone()));
        let address = known.as_ref().map(|(address, _)| *address);
        let attempt = {
            let (driver, id, progress) = (self.clone(), id.clone(), progress.clone());
            let outgoing = open.outgoing.clone();
            let at_most_once = open.at_most_once;
            let recorder = self.recorder.borrow().clone();
            let recorder = recorder.filter(|recorder| at_most_once || recorder.records_repeatable(&id));
            async move {
                if let (Some(recorder), Some(address)) = (recorder, address) {
                    if !recorder.record_send(&id, number, address, now).await {
                        let end = AttemptEnd::without_response(Outcome::NeverSent);
                        return driver.finish_attempt(&id, number, end);
                    }
                    progress.is_recorded.set(true);
                    // The wait for the disk does not count as time of the server.
                    if let Some(attempt) = driver.state.borrow_mut().running_attempt(&id, number) {
                        attempt.sent_at = driver.clock.now();
                    }
                }
                let name = known.map(|(_, name)| name).unwrap_or_default();
                let request = |progress: &Rc<SendProgress>| {
                    let time_left = driver.time_left_to_send(server, give_up_at);
                    time_left.map(|time_left| outgoing.for_attempt(time_left, &name, progress))
                };
                driver.wait_for_resume().await;
                let end = match address {
                    Some(address) => {
                        let upstream = &driver.upstream;
                        upstream.attempt(server, address, &progress, at_most_once, sent_before, request).await
                    }
                    None => AttemptEnd::without_response(Outcome::NeverSent),
                };
                driver.finish_attempt(&id, number, end);
            }
        };
        let task = tokio::task::spawn_local(attempt).abort_handle();
        *last_timer += 1;
        let timer = (give_up_at.whole_micros(), *last_timer);
        timers.insert(timer, Timer::AttemptTimeout(id, number));
        if timers.keys().next() == Some(&timer) {
            self.first_timer_changed.notify_one();
        }
        open.attempts.push(Attempt { server, sent_at: now, progress, task, timer, is_ended: false });
    }

    /// Returns the time left for an attempt whose first byte is about to be written, or `None` if it must not
    /// be sent: the server is draining or removed, or might be according to input not yet read after a pause,
    /// the send guard forbids it, or the time is up. If the client has disconnected, the attempt was given up before.
    fn time_left_to_send(&self, server: ServerId, give_up_at: Timestamp) -> Option<Millis> {
        let now = self.clock.now();
        self.detect_pause(now);
        let time_left = give_up_at.millis_since(now);
        let state = self.state.borrow();
        let is_paused = now < self.paused_until.get();
        let is_serving = state.servers.get(&server).is_some_and(|s| s.state == ListedServerState::Serving);
        let may_send = self.send_guard.borrow().as_ref().is_none_or(|guard| guard.may_send());
        (is_serving && may_send && !is_paused && time_left > 0.0).then_some(time_left)
    }

    /// Aborts an attempt and closes its connection.
    fn give_up(&self, state: &mut State, id: &RequestId, number: u32, outcome: Outcome, now: Timestamp) {
        let Some(attempt) = state.running_attempt(id, number) else { return };
        attempt.task.abort();
        // A request that was not written completely cannot have run, so it may be sent again or refused even
        // if it must not run twice.
        let outcome = if attempt.progress.may_have_run() { outcome } else { Outcome::NeverSent };
        self.apply_attempt_end(state, id, number, AttemptEnd::without_response(outcome), now);
    }

    fn finish_attempt(self: &Rc<Self>, id: &RequestId, number: u32, end: AttemptEnd) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        self.apply_attempt_end(&mut state, id, number, end, now);
        self.process_events_at(&mut state, now);
    }

    /// Applies the result of an attempt; only the first result of each attempt has an effect.
    fn apply_attempt_end(
        &self,
        state: &mut State,
        id: &RequestId,
        number: u32,
        end: AttemptEnd,
        now: Timestamp,
    ) {
        let Some(attempt) = state.running_attempt(id, number) else { return };
        attempt.is_ended = true;
        let (server, sent_at, timer) = (attempt.server, attempt.sent_at, attempt.timer);
        if attempt.progress.is_recorded.get() {
            if let Some(recorder) = &*self.recorder.borrow() {
                let status = match &end.response {
                    Some(response) => Some(response.status().as_u16()),
                    None => (end.outcome == Outcome::Ok).then_some(200),
                };
                recorder.record_result(id, number, end.outcome.never_ran(), status);
            }
        }
        state.timers.remove(&timer);
        match (end.outcome, end.response) {
            (Outcome::Ok, Some(response)) => {
                state.respond(id, response.into());
            }
            (Outcome::Ok, None) => {
                state.respond(id, FinalResponse::Served(end.body, end.content_type));
            }
            (_, response) => {
                if let Some(open) = state.requests.get_mut(id) {
                    open.fallback = response;
                    open.timed_out = end.outcome == Outcome::Timeout;
                    if open.outgoing.body.is_consumed() {
                        // Tells the gateway that the request cannot be sent again.
                        let request = id.clone();
                        state.events.push_back(Event::StreamStarted { request, attempt: number });
                    }
                }
            }
        }
        let is_final = state.requests.get(id).is_none_or(|open| open.response.is_none());
        state.events.push_back(Event::AttemptEnded(AttemptResult {
            request: id.clone(),
            attempt: number,
            server,
            outcome: end.outcome,
            elapsed: now.millis_since(sent_at),
            is_final,
            metered_percent: end.metered_percent,
            load: end.load,
        }));
        state.remove_if_ended(id);
    }
}

impl State {
    /// Returns an attempt that has not ended.
    fn running_attempt(&mut self, id: &RequestId, number: u32) -> Option<&mut Attempt> {
        self.requests.get_mut(id)?.attempts.get_mut(number as usize).filter(|a| !a.is_ended)
    }

    /// Gives the final response to a request. All final responses pass through here; returns whether this was
    /// the first one for the request, and ignores further ones.
    fn respond(&mut self, id: &RequestId, response: FinalResponse) -> bool {
        let Some(open) = self.requests.get_mut(id) else { return false };
        let Some(sender) = open.response.take() else { return false };
        let response = match (response, open.fallback.take()) {
            (FinalResponse::Refused(..) | FinalResponse::Failed, Some(fallback)) => fallback.into(),
            (response, _) => response,
        };
        let deadline_timer = open.deadline_timer;
        self.timers.remove(&deadline_timer);
        // Fails if the client has just disconnected, which is reported to the gateway separately.
        let _ = sender.send(response);
        true
    }

    /// Removes a request that has its final response and no attempt in flight.
    fn remove_if_ended(&mut self, id: &RequestId) {
        let is_ended =
            |open: &OpenRequest| open.response.is_none() && open.attempts.iter().all(|a| a.is_ended);
        if self.requests.get(id).is_some_and(is_ended) {
            if let Some(open) = self.requests.remove(id) {
                self.timers.remove(&open.deadline_timer);
            }
        }
    }
}

/// Tells the driver on drop that the client has disconnected, unless the guard was disarmed.
pub struct DisconnectGuard {
    driver: Rc<Driver>,
    id: Option<RequestId>,
}

impl DisconnectGuard {
    /// Creates a guard for a request that was just submitted.
    pub fn new(driver: Rc<Driver>, id: RequestId) -> Self {
        Self { driver, id: Some(id) }
    }

    /// Disarms the guard, as the final response has been received.
    pub fn disarm(mut self) {
        self.id = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.driver.client_gone(&id);
        }
    }
}
