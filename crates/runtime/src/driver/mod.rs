//! The driver owns the [`Gateway`]: it feeds events to it, executes its actions, and holds the timers and the
//! open requests.
//!
//! Everything runs on one thread. Events caused by an action are queued and handled in order, never
//! recursively.

mod attempts;
mod messages;
mod servers;
mod timers;

pub use messages::{
    Admission, AttemptRecorder, ClientRequest, FinalResponse, Head, OutgoingRequest, SetAttemptHeaders,
};

use crate::clock::Clock;
use crate::send_guard::SendGuard;
use crate::server_list::{ListedServerState, ServerListUpdate};
use crate::upstream::{ServerResponse, Upstream};
use attempts::Attempt;
use hashbrown::HashMap;
use ivygate_gateway::{
    Action, Arrival, AttemptResult, Event, Gateway, Load, Outcome, RejectReason, RequestId, ServerId,
};
use ivygate_time::{Millis, Timestamp};
use servers::KnownServer;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use timers::{Timer, TimerKey, SWEEP_INTERVAL};
use tokio::sync::{oneshot, Notify};
use tokio::time::sleep_until;

/// Margin for the network before a client's deadline: the gateway works with a deadline that is this much
/// earlier.
const DECISION_MARGIN: Duration = Duration::from_millis(12);
/// Time before the client's deadline at which it gets a response in any case. Later than any decision of the
/// gateway, and early enough for the response to arrive.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(5);

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
