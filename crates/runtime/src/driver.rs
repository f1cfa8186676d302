//! The only owner of the [`Gateway`]: feeds events in, carries out actions, holds the timers and the table
//! of open requests.
//!
//! All runs on one thread. What an action leads to is queued and handled in order, never from within.

use crate::clock::Clock;
use crate::listing::{ListedServerState, ServerListUpdate};
use crate::payload::{Outgoing, RequestBody, Sent};
use crate::streamed::Streamed;
use crate::upstream::{End, Progress, ServerResponse, Upstream};
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

/// Kept before a client's deadline for the network: the gateway decides as if the deadline came that much earlier.
const DECISION_MARGIN: Duration = Duration::from_millis(12);
/// How long before the client's deadline it is answered whatever the gateway waits for: later than any decision, early
/// enough for the answer to arrive.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(5);
/// Interval in which idle connections are swept.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// A process whose sweep is overdue by this was stalled. The longest stall that goes unnoticed, with one interval before
/// it, stays below the grace period of a drain.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);
/// After a stall nothing is sent for this long: what waits to be read may say that a server drains.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// What a head says, checked.
#[derive(Debug, PartialEq)]
pub struct Head {
    /// The request's id.
    pub id: RequestId,
    /// Its class.
    pub class: Arc<str>,
    /// The customer's plan.
    pub plan: Arc<str>,
    /// The customer.
    pub customer: Arc<str>,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Nodes through which the customer's requests may come.
    pub gateways: u32,
    /// How long the client will wait.
    pub timeout: Millis,
    /// Whether it must never run twice.
    pub at_most_once: bool,
    /// The only zones whose servers may have it; `None` for all.
    pub zones: Option<Zones>,
    /// Most servers that it may be sent to, where that is fewer than for others.
    pub max_attempts: Option<u32>,
}

/// A client's request, read and checked.
pub struct ClientRequest {
    /// What its head says.
    pub head: Head,
    /// When the client gives up.
    pub deadline: Timestamp,
    /// What goes on to an app server, unchanged.
    pub outgoing: OutgoingRequest,
}

/// A request as it goes on to an app server.
pub struct OutgoingRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, without those that belong to the client's connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Rc<RequestBody>,
    /// What a server is told besides, just before the first byte is written.
    pub set_attempt_headers: Option<SetAttemptHeaders>,
}

/// Adds to a request's headers what depends on the attempt: the time left for it and the server's name on the list.
pub type SetAttemptHeaders = fn(&mut HeaderMap, Millis, &str);

impl OutgoingRequest {
    fn request(&self, left: Millis, server: &str, sent: &Rc<Sent>) -> Request<Outgoing> {
        let mut request = Request::new(self.body.outgoing(sent));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        if let Some(tells) = self.set_attempt_headers {
            tells(request.headers_mut(), left, server);
        }
        request
    }
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// Served, with the app server's body and its type.
    Served(Bytes, Option<HeaderValue>),
    /// Served, or failed in a server's own words: what comes is passed on.
    Streamed(Box<Response<Streamed>>),
    /// The same, read whole before.
    Buffered(Box<Response<Bytes>>),
    /// Refused; the client should stay away this long, or is told nothing if it is 0. The last part tells whether
    /// a server had been tried before.
    Refused(Millis, RejectReason, bool),
    /// Failed.
    Failed,
    /// Failed because the time was up.
    TimedOut,
}

impl From<ServerResponse> for FinalResponse {
    fn from(words: ServerResponse) -> Self {
        match words {
            ServerResponse::Streamed(answer) => FinalResponse::Streamed(answer),
            ServerResponse::Buffered(answer) => FinalResponse::Buffered(answer),
        }
    }
}

/// What must be told of requests that must not run twice before anything of them goes out, and what came of them.
pub trait AttemptRecorder {
    /// Whether a request that may run again is to be recorded too.
    fn records_repeatable(&self, id: &RequestId) -> bool;

    /// An attempt is about to be sent: true once that is recorded. Where it is not, nothing is sent.
    fn record_send<'a>(
        &'a self,
        id: &'a RequestId,
        attempt: u32,
        server: SocketAddr,
        now: Timestamp,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>>;

    /// What came of an attempt that was recorded: an answer's status, or proof that it never ran, or neither.
    fn record_result(&self, id: &RequestId, attempt: u32, never_ran: bool, status: Option<u16>);
}

/// Whether a request may go on that somebody else will send.
#[derive(Debug)]
pub enum Admission {
    /// It may; this server would be chosen for it.
    Admitted(Option<SocketAddr>),
    /// It may not, and should stay away this long.
    Refused(Millis, RejectReason),
}

/// A request that has arrived, until its answer is given and all its attempts have ended.
struct Open {
    message: Rc<OutgoingRequest>,
    /// It must not be sent again once it has been.
    once: bool,
    deadline: Timestamp,
    /// Where the answer goes; empty once it is given.
    answer: Option<oneshot::Sender<FinalResponse>>,
    attempts: Vec<Attempt>,
    /// A server's own words for a failure, passed on if nothing better comes.
    fallback: Option<ServerResponse>,
    /// Its last attempt ended for want of time.
    timed_out: bool,
    guard: TimerKey,
}

struct Attempt {
    server: ServerId,
    sent_at: Timestamp,
    progress: Rc<Progress>,
    task: AbortHandle,
    timer: TimerKey,
    ended: bool,
}

/// Timers in order: microseconds of Unix time, and a number that makes each unique.
type TimerKey = (u64, u64);

enum Timer {
    /// The gateway's own.
    Gateway(u64),
    /// An attempt's time is up.
    GiveUp(RequestId, u32),
    /// A request's deadline is near.
    Guard(RequestId),
    /// Idle connections are to be looked through.
    Sweep,
}

struct Listed {
    uid: String,
    address: SocketAddr,
    state: ListedServerState,
}

/// Whoever decides: a [`Gateway`], or one with something in its way, as tests of a fleet put there.
pub trait DecisionEngine {
    /// Takes in one event and adds what is to be done to `actions`, in order.
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>);
}

impl DecisionEngine for Gateway {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Gateway::handle(self, now, event, actions);
    }
}

struct State {
    gateway: Box<dyn DecisionEngine>,
    requests: HashMap<RequestId, Open>,
    timers: BTreeMap<TimerKey, Timer>,
    timer_number: u64,
    servers: HashMap<ServerId, Listed>,
    names: HashMap<String, ServerId>,
    next_server: ServerId,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

/// Ties the gateway to clients, app servers, discovery and the clock.
pub struct Driver {
    state: RefCell<State>,
    upstream: Rc<Upstream>,
    clock: Clock,
    /// A timer became the first.
    sooner: Notify,
    /// When the next sweep is due.
    sweep_due: Cell<Timestamp>,
    /// Until then nothing is sent: the process has stood still.
    hears_until: Cell<Timestamp>,
    retired: Cell<bool>,
    /// Where attempts of requests that must not run twice are recorded first.
    ledger: RefCell<Option<Rc<dyn AttemptRecorder>>>,
}

impl Driver {
    /// A driver with nothing open.
    pub fn new(gateway: impl DecisionEngine + 'static, clock: Clock, upstream: Rc<Upstream>) -> Rc<Self> {
        let state = State {
            gateway: Box::new(gateway),
            requests: HashMap::new(),
            timers: BTreeMap::new(),
            timer_number: 0,
            servers: HashMap::new(),
            names: HashMap::new(),
            next_server: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        let driver = Rc::new(Self {
            state: RefCell::new(state),
            upstream,
            clock,
            sooner: Notify::new(),
            sweep_due: Cell::new(clock.now() + SWEEP_INTERVAL),
            hears_until: Cell::new(Timestamp::DISTANT_PAST),
            retired: Cell::new(false),
            ledger: RefCell::default(),
        });
        driver.set_timer(&mut driver.state.borrow_mut(), clock.now() + SWEEP_INTERVAL, Timer::Sweep);
        driver
    }

    /// From now on attempts of requests that must not run twice are recorded first.
    pub fn set_recorder(&self, ledger: Rc<dyn AttemptRecorder>) {
        self.ledger.replace(Some(ledger));
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Whether an app server is known that could serve.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().servers.values().any(|s| s.state == ListedServerState::Serving)
    }

    /// Takes a request; its one answer comes through the receiver. `None` if a request of the same id is
    /// still open: answering both by one run, or running both, would each break a promise.
    pub fn submit(self: &Rc<Self>, ask: ClientRequest) -> Option<oneshot::Receiver<FinalResponse>> {
        let mut state = self.state.borrow_mut();
        let head = ask.head;
        if state.requests.contains_key(&head.id) {
            return None;
        }
        let (answer, receiver) = oneshot::channel();
        let guard =
            self.set_timer(&mut state, ask.deadline - LAST_ANSWER_MARGIN, Timer::Guard(head.id.clone()));
        let deadline = ask.deadline - DECISION_MARGIN;
        let open = Open {
            message: Rc::new(ask.outgoing),
            once: head.at_most_once,
            deadline,
            answer: Some(answer),
            attempts: Vec::new(),
            fallback: None,
            timed_out: false,
            guard,
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
        self.work(&mut state);
        Some(receiver)
    }

    /// Asks whether a request may go on that somebody else will send: quotas, ceilings, servers and room are looked at
    /// as for one that is sent from here, and its units are taken. `head.id` must be of no other request.
    ///
    /// Nothing is known of what becomes of it, so it counts as out for no time at all, and nothing is learned of its
    /// server.
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
                other => self.carry_out(&mut state, other, now),
            }
        }
        self.work_at(&mut state, now);
        admission
    }

    /// The client has left: nothing is owed any more, and what is out for it is given up.
    pub fn client_gone(self: &Rc<Self>, id: &RequestId) {
        let mut state = self.state.borrow_mut();
        let Some(open) = state.requests.get_mut(id) else { return };
        if open.answer.take().is_some() {
            self.leave(&mut state, id);
        }
    }

    /// Tells the gateway that nothing is owed for a request any more.
    fn leave(self: &Rc<Self>, state: &mut State, id: &RequestId) {
        state.events.push_back(Event::ClientGone { request: id.clone() });
        self.work(state);
        state.drop_if_over(id);
    }

    /// Tells the gateway of something that is neither a request nor a server.
    pub fn notify(self: &Rc<Self>, event: Event) {
        let mut state = self.state.borrow_mut();
        state.events.push_back(event);
        self.work(&mut state);
    }

    /// News of the list of app servers.
    pub fn update_servers(self: &Rc<Self>, listing: ServerListUpdate) {
        let mut state = self.state.borrow_mut();
        let kind = if listing.all { ListKind::Full } else { ListKind::Changes };
        if listing.all {
            let named: HashSet<&str> = listing.targets.iter().map(|t| t.uid.as_str()).collect();
            let gone: Vec<_> = state
                .servers
                .iter()
                .filter(|(_, s)| !named.contains(s.uid.as_str()))
                .map(|(id, _)| *id)
                .collect();
            for server in gone {
                self.remove(&mut state, server);
            }
        }
        let mut members = Vec::with_capacity(listing.targets.len());
        for target in listing.targets {
            let known = state.names.get(&target.uid).copied();
            let gone = target.state == ListedServerState::Deleted;
            let server = match known {
                Some(server) => server,
                None if gone => continue,
                None => {
                    state.next_server += 1;
                    state.next_server
                }
            };
            members.push(ServerEntry {
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
                Some(address) if !gone => {
                    if target.state == ListedServerState::Draining {
                        self.upstream.close_idle(server);
                    }
                    state.names.insert(target.uid.clone(), server);
                    let listed = Listed { uid: target.uid, address, state: target.state };
                    state.servers.insert(server, listed);
                }
                _ => self.remove(&mut state, server),
            }
        }
        state.events.push_back(Event::List { kind, servers: members.into() });
        self.work(&mut state);
    }

    fn remove(&self, state: &mut State, server: ServerId) {
        self.upstream.close_idle(server);
        if let Some(listed) = state.servers.remove(&server) {
            state.names.remove(&listed.uid);
        }
    }

    /// Fires timers for as long as the node runs.
    pub async fn run_timers(self: Rc<Self>) {
        while !self.retired.get() || self.open_requests() > 0 {
            let first = self.state.borrow().timers.keys().next().copied();
            match first {
                Some((at, _)) => {
                    tokio::select! {
                        () = sleep_until(self.clock.instant(Timestamp::from_micros(at))) => self.fire(),
                        () = self.sooner.notified() => {}
                    }
                }
                None => self.sooner.notified().await,
            }
        }
    }

    /// Looks whether the process has stood still, and if so lets it hear before it sends.
    fn wake(&self, now: Timestamp) {
        if now > self.sweep_due.get() + STALL_THRESHOLD {
            self.sweep_due.set(now + SWEEP_INTERVAL);
            self.hears_until.set(now + RESUME_PAUSE);
        }
    }

    /// Waits while a process that has stood still hears what it missed.
    async fn awake(&self) {
        let now = self.clock.now();
        self.wake(now);
        if now < self.hears_until.get() {
            sleep_until(self.clock.instant(self.hears_until.get())).await;
        }
    }

    fn fire(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        self.wake(now);
        let now = now.whole_micros();
        // Only what is due now: a timer set meanwhile for a time that has passed fires in the next round.
        let later = state.timers.split_off(&(now + 1, 0));
        for (_, timer) in std::mem::replace(&mut state.timers, later) {
            match timer {
                Timer::Gateway(token) => state.events.push_back(Event::Timer { token }),
                Timer::GiveUp(id, number) => {
                    self.give_up(&mut state, &id, number, Outcome::Timeout, self.clock.now());
                }
                Timer::Guard(id) => {
                    // The last guard: whatever the gateway waits for, a client is answered in time.
                    if state.answer(&id, FinalResponse::TimedOut) {
                        self.leave(&mut state, &id);
                    }
                }
                Timer::Sweep => {
                    self.upstream.close_expired();
                    for server in self.upstream.take_broken() {
                        let (outcome, load) = (Outcome::Reset, Load::default());
                        state.events.push_back(Event::HealthChecked { server, outcome, load });
                    }
                    let due = self.clock.now() + SWEEP_INTERVAL;
                    self.sweep_due.set(due);
                    self.set_timer(&mut state, due, Timer::Sweep);
                }
            }
            self.work(&mut state);
        }
    }

    fn set_timer(&self, state: &mut State, at: Timestamp, timer: Timer) -> TimerKey {
        state.timer_number += 1;
        let key = (at.whole_micros(), state.timer_number);
        state.timers.insert(key, timer);
        if state.timers.keys().next() == Some(&key) {
            self.sooner.notify_one();
        }
        key
    }

    /// Feeds queued events to the gateway and carries out what it wants, until neither is left.
    fn work(self: &Rc<Self>, state: &mut State) {
        // Read once: what one event leads to takes microseconds.
        let now = self.clock.now();
        self.work_at(state, now);
    }

    fn work_at(self: &Rc<Self>, state: &mut State, now: Timestamp) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(state, action, now);
            }
            state.actions = actions;
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action, now: Timestamp) {
        match action {
            Action::Send { request, server, give_up_at } => {
                self.send(state, request, server, give_up_at, now);
            }
            Action::Reject { request, retry_after, reason } => {
                let tried = state.requests.get(&request).is_some_and(|open| !open.attempts.is_empty());
                state.answer(&request, FinalResponse::Refused(retry_after, reason, tried));
                state.drop_if_over(&request);
            }
            Action::Fail { request } => {
                let timed_out = state.requests.get(&request).is_some_and(|open| open.timed_out);
                state.answer(
                    &request,
                    if timed_out { FinalResponse::TimedOut } else { FinalResponse::Failed },
                );
                state.drop_if_over(&request);
            }
            Action::Cancel { request, attempt } => {
                self.give_up(state, &request, attempt, Outcome::Cancelled, now);
            }
            Action::Timer { token, at } => {
                self.set_timer(state, at, Timer::Gateway(token));
            }
            Action::Log { text } => eprintln!("{text}"),
            Action::CheckHealth { server } => self.probe(state, server),
            // The list is told without being asked for.
            Action::Subscribe => {}
        }
    }

    /// Tries whether a server takes a connection, where that is all that can be asked of it.
    fn probe(self: &Rc<Self>, state: &State, server: ServerId) {
        // The platform's protocol has no message for it.
        let Some(listed) = state.servers.get(&server).filter(|_| self.upstream.probes()) else { return };
        let (driver, address) = (self.clone(), listed.address);
        tokio::task::spawn_local(async move {
            let outcome = driver.upstream.probe(address).await;
            let mut state = driver.state.borrow_mut();
            state.events.push_back(Event::HealthChecked { server, outcome, load: Load::default() });
            driver.work(&mut state);
        });
    }

    /// Ends this driver, which must be told of no request any more: what is open may still be sent on for the
    /// grace, and ends after it with the attempts that are out.
    pub fn retire(self: &Rc<Self>, grace: Millis) {
        self.retired.set(true);
        self.sooner.notify_one();
        let driver = self.clone();
        tokio::task::spawn_local(async move {
            sleep_until(driver.clock.instant(driver.now().plus_millis(grace))).await;
            driver.update_servers(ServerListUpdate { rev: 0, all: true, targets: Vec::new() });
        });
    }

    /// Requests that have no answer yet or an attempt out.
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
        let State { requests, servers, timer_number, timers, .. } = state;
        let Some(open) = requests.get_mut(&id) else { return };
        let number = open.attempts.len() as u32;
        let give_up_at =
            if give_up_at.as_millis() > 0.0 { give_up_at.min(open.deadline) } else { open.deadline };
        // Where a body can't be had again, giving up in time for another attempt is no use.
        let give_up_at = if open.message.body.is_streamed() { open.deadline } else { give_up_at };
        open.fallback = None;
        let again = open.attempts.iter().any(|attempt| attempt.server == server);
        let progress = Rc::new(Progress::default());
        let listed = servers.get(&server).map(|s| (s.address, s.uid.clone()));
        let address = listed.as_ref().map(|(address, _)| *address);
        let attempt = {
            let (driver, id, progress) = (self.clone(), id.clone(), progress.clone());
            let message = open.message.clone();
            let once = open.once;
            let ledger = self.ledger.borrow().clone().filter(|ledger| once || ledger.records_repeatable(&id));
            async move {
                if let (Some(ledger), Some(address)) = (ledger, address) {
                    if !ledger.record_send(&id, number, address, now).await {
                        return driver.attempt_ended(&id, number, End::bare(Outcome::NeverSent));
                    }
                    progress.recorded.set(true);
                    // The wait for the disk is none of the server's time.
                    if let Some(attempt) = driver.state.borrow_mut().attempt(&id, number) {
                        attempt.sent_at = driver.clock.now();
                    }
                }
                let name = listed.map(|(_, name)| name).unwrap_or_default();
                let request = |sent: &Rc<Sent>| {
                    driver.may_write(server, give_up_at).map(|left| message.request(left, &name, sent))
                };
                driver.awake().await;
                let end = match address {
                    Some(address) => {
                        driver.upstream.attempt(server, address, &progress, once, again, request).await
                    }
                    None => End::bare(Outcome::NeverSent),
                };
                driver.attempt_ended(&id, number, end);
            }
        };
        let task = tokio::task::spawn_local(attempt).abort_handle();
        *timer_number += 1;
        let timer = (give_up_at.whole_micros(), *timer_number);
        timers.insert(timer, Timer::GiveUp(id, number));
        if timers.keys().next() == Some(&timer) {
            self.sooner.notify_one();
        }
        open.attempts.push(Attempt { server, sent_at: now, progress, task, timer, ended: false });
    }

    /// The time left for an attempt whose first byte is about to be written, unless it must not be: the
    /// server drains or is gone by now, or may be for all that this process has slept through, or its time is up. Where the client has left the attempt has been
    /// given up, and never comes here.
    fn may_write(&self, server: ServerId, give_up_at: Timestamp) -> Option<Millis> {
        let now = self.clock.now();
        self.wake(now);
        let left = give_up_at.millis_since(now);
        let state = self.state.borrow();
        let hears = now < self.hears_until.get();
        let serving = state.servers.get(&server).is_some_and(|s| s.state == ListedServerState::Serving);
        (serving && !hears && left > 0.0).then_some(left)
    }

    /// Stops waiting for an attempt and closes its connection.
    fn give_up(&self, state: &mut State, id: &RequestId, number: u32, outcome: Outcome, now: Timestamp) {
        let Some(attempt) = state.attempt(id, number) else { return };
        attempt.task.abort();
        // What was never written can't have run: an unsafe request may then be tried again or refused.
        let outcome = if attempt.progress.may_have_run() { outcome } else { Outcome::NeverSent };
        self.end(state, id, number, End::bare(outcome), now);
    }

    fn attempt_ended(self: &Rc<Self>, id: &RequestId, number: u32, end: End) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        self.end(&mut state, id, number, end, now);
        self.work_at(&mut state, now);
    }

    /// Takes in how an attempt ended, once for each.
    fn end(&self, state: &mut State, id: &RequestId, number: u32, end: End, now: Timestamp) {
        let Some(attempt) = state.attempt(id, number) else { return };
        attempt.ended = true;
        let (server, sent_at, timer) = (attempt.server, attempt.sent_at, attempt.timer);
        if attempt.progress.recorded.get() {
            if let Some(ledger) = &*self.ledger.borrow() {
                let status = match &end.answer {
                    Some(answer) => Some(answer.status().as_u16()),
                    None => (end.outcome == Outcome::Ok).then_some(200),
                };
                ledger.record_result(id, number, end.outcome.never_ran(), status);
            }
        }
        state.timers.remove(&timer);
        match (end.outcome, end.answer) {
            (Outcome::Ok, Some(answer)) => {
                state.answer(id, answer.into());
            }
            (Outcome::Ok, None) => {
                state.answer(id, FinalResponse::Served(end.body, end.content_type));
            }
            (_, answer) => {
                if let Some(open) = state.requests.get_mut(id) {
                    open.fallback = answer;
                    open.timed_out = end.outcome == Outcome::Timeout;
                    if open.message.body.is_consumed() {
                        // The gateway's word for what belongs to the client and is never sent anew.
                        let request = id.clone();
                        state.events.push_back(Event::StreamStarted { request, attempt: number });
                    }
                }
            }
        }
        let closed = state.requests.get(id).is_none_or(|open| open.answer.is_none());
        state.events.push_back(Event::AttemptEnded(AttemptResult {
            request: id.clone(),
            attempt: number,
            server,
            outcome: end.outcome,
            elapsed: now.millis_since(sent_at),
            is_final: closed,
            metered_percent: end.use_percent,
            load: end.load,
        }));
        state.drop_if_over(id);
    }
}

impl State {
    /// An attempt that has not ended.
    fn attempt(&mut self, id: &RequestId, number: u32) -> Option<&mut Attempt> {
        self.requests.get_mut(id)?.attempts.get_mut(number as usize).filter(|a| !a.ended)
    }

    /// The one place from which a final answer goes out; it fires once for a request.
    fn answer(&mut self, id: &RequestId, answer: FinalResponse) -> bool {
        let Some(open) = self.requests.get_mut(id) else { return false };
        let Some(sender) = open.answer.take() else { return false };
        let answer = match (answer, open.fallback.take()) {
            (FinalResponse::Refused(..) | FinalResponse::Failed, Some(words)) => words.into(),
            (answer, _) => answer,
        };
        let guard = open.guard;
        self.timers.remove(&guard);
        // A client that has just left needs no answer; it is told to the gateway by whoever noticed.
        let _ = sender.send(answer);
        true
    }

    /// Forgets a request that is answered and has no attempt out.
    fn drop_if_over(&mut self, id: &RequestId) {
        let over = |open: &Open| open.answer.is_none() && open.attempts.iter().all(|a| a.ended);
        if self.requests.get(id).is_some_and(over) {
            if let Some(open) = self.requests.remove(id) {
                self.timers.remove(&open.guard);
            }
        }
    }
}

/// Tells the driver that the client has left, unless its answer came first.
pub struct DisconnectGuard {
    driver: Rc<Driver>,
    id: Option<RequestId>,
}

impl DisconnectGuard {
    /// Watches over a request that has just arrived.
    pub fn new(driver: Rc<Driver>, id: RequestId) -> Self {
        Self { driver, id: Some(id) }
    }

    /// The answer has come.
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
