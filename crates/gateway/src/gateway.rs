//! The gateway's state and its event handlers.

use crate::api::{Action, Event, RequestId, ServerId, ZoneShares};
use crate::customer_record::CustomerRecord;
use crate::request_record::RequestRecord;
use crate::server_record::ServerRecord;
use crate::settings::{RequestClass, RetryBudget, Settings, SettingsError};
use crate::sketch::CountMinSketch;
use ivygate_time::{Millis, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Rows of a sketch: with four independent hashes a collision of two customers in all rows is negligible.
const SKETCH_ROWS: usize = 4;
/// Counters in a row: many times the number of customers active at one gateway within a quota window.
const SKETCH_COLUMNS: usize = 2048;
/// Time reserved before a deadline or a latency target for the response to reach the client.
pub(crate) const DEADLINE_MARGIN: Millis = 2.0;
/// Token of the housekeeping timer.
const HOUSEKEEPING_TIMER: u64 = 0;
/// Token of the timer after which the server list is requested again.
pub(crate) const LIST_RETRY_TIMER: u64 = 1;

/// Usage counters of a plan.
pub(crate) struct PlanUsage {
    /// Units sent, in two sketches that rotate each half window: together they cover about one window.
    pub sent: [CountMinSketch; 2],
    pub rotate_at: Timestamp,
    /// Attempts in flight.
    pub in_flight: CountMinSketch,
}

/// Estimates of a request class, learned from responses.
#[derive(Clone, Copy, Default)]
pub(crate) struct ClassEstimate {
    /// Work of one unit on an idle server.
    pub unit_work: Millis,
    /// Weight of the responses that `unit_work` is based on.
    pub answers: f64,
}

/// Recent ratio of failed attempts to a zone.
#[derive(Clone, Copy)]
pub(crate) struct ZoneFailures {
    pub ratio: f64,
    pub updated_at: Timestamp,
}

/// A request that may get a hedged attempt, ordered by due time in whole microseconds.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PendingHedge {
    pub due_us: u64,
    pub request: RequestId,
}

impl PendingHedge {
    pub fn new(due_at: Timestamp, request: RequestId) -> Self {
        Self { due_us: due_at.whole_micros(), request }
    }

    pub fn due_at(&self) -> Timestamp {
        Timestamp::from_micros(self.due_us)
    }

    pub fn is_due(&self, now: Timestamp) -> bool {
        self.due_us <= now.whole_micros()
    }
}

/// Requests rejected since the last log line.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RejectionCounts {
    pub quota: u32,
    pub rate_limit: u32,
    pub overload: u32,
}

/// The decision logic of one gateway.
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Timestamp,
    pub(crate) started_at: Option<Timestamp>,
    pub(crate) zone: Arc<str>,
    pub(crate) servers: BTreeMap<ServerId, ServerRecord>,
    /// Number of servers that accept requests, at least 1. Cached because it is read for each request; updated with the list.
    pub(crate) ready_servers: f64,
    /// Recent failures by zone.
    pub(crate) zone_failures: BTreeMap<Arc<str>, ZoneFailures>,
    /// Shares of the requests that may go to each zone; zones that are missing are unrestricted.
    pub(crate) zone_shares: Arc<[ZoneShares]>,
    pub(crate) requests: BTreeMap<RequestId, RequestRecord>,
    pub(crate) customers: BTreeMap<Arc<str>, CustomerRecord>,
    pub(crate) plans: Vec<PlanUsage>,
    pub(crate) classes: Vec<ClassEstimate>,
    pub(crate) hedges: BTreeSet<PendingHedge>,
    /// Retries that the budget allows now.
    pub(crate) retry_tokens: f64,
    /// Mean value of a request per millisecond of work.
    pub(crate) mean_value: f64,
    /// Moving average of this gateway's attempts in flight, sampled at each request.
    pub(crate) typical_in_flight: f64,
    /// Mean work of a request on an idle server.
    pub(crate) mean_work: Millis,
    /// Shortest latency target of all classes; the time scale on which queues build up and drain.
    pub(crate) shortest_target: Millis,
    pub(crate) next_sweep_at: Timestamp,
    /// Time of the next tick that is scheduled.
    pub(crate) next_tick_at: Timestamp,
    pub(crate) rejected: RejectionCounts,
    pub(crate) next_log_at: Timestamp,
}

fn shortest_target(classes: &[RequestClass]) -> Millis {
    classes.iter().map(|class| class.latency_target).fold(f64::INFINITY, f64::min)
}

impl Gateway {
    /// Creates a gateway without servers. `seed` determines all its random choices.
    ///
    /// # Errors
    /// Returns an error that names the first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut sketch =
            || CountMinSketch::new((0..SKETCH_ROWS).map(|_| rng.u64(..)).collect(), SKETCH_COLUMNS);
        let plans = settings
            .plans
            .iter()
            .map(|_| PlanUsage {
                sent: [sketch(), sketch()],
                rotate_at: Timestamp::DISTANT_PAST,
                in_flight: sketch(),
            })
            .collect();
        let RetryBudget { burst, counts_never_run, .. } = settings.retry_budget;
        Ok(Self {
            zone: settings.zone.as_str().into(),
            classes: vec![ClassEstimate::default(); settings.classes.len()],
            shortest_target: shortest_target(&settings.classes),
            plans,
            settings,
            rng,
            now: Timestamp::DISTANT_PAST,
            started_at: None,
            servers: BTreeMap::new(),
            ready_servers: 1.0,
            zone_failures: BTreeMap::new(),
            zone_shares: Arc::new([]),
            requests: BTreeMap::new(),
            customers: BTreeMap::new(),
            hedges: BTreeSet::new(),
            retry_tokens: if counts_never_run { 0.0 } else { burst },
            mean_value: 0.0,
            typical_in_flight: 0.0,
            mean_work: 0.0,
            next_sweep_at: Timestamp::DISTANT_PAST,
            next_tick_at: Timestamp::DISTANT_FUTURE,
            rejected: RejectionCounts::default(),
            next_log_at: Timestamp::DISTANT_PAST,
        })
    }

    /// Handles one event and appends the resulting actions to `actions`, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        // A clock that steps back must neither fill nor drain token buckets.
        self.now = self.now.max(now);
        self.start(actions);
        match event {
            Event::ZoneShares { zones } => self.handle_zone_shares(zones),
            Event::Class(class) => self.handle_class(class),
            Event::RetryBudget(budget) => self.handle_retry_budget(budget),
            Event::List { kind, servers } => self.handle_list(kind, &servers, actions),
            Event::Arrival(arrival) => self.handle_arrival(arrival, actions),
            Event::AttemptEnded(result) => self.handle_attempt_ended(&result, actions),
            Event::HealthChecked { server, outcome, load } => {
                self.handle_health_checked(server, outcome, load);
            }
            Event::StreamStarted { request, .. } => self.handle_stream_started(&request),
            Event::ClientGone { request } => self.close(&request, actions),
            Event::Timer { token: HOUSEKEEPING_TIMER } => self.handle_tick(actions),
            Event::Timer { token: LIST_RETRY_TIMER } if self.settings.subscribe_to_list => {
                actions.push(Action::Subscribe);
            }
            Event::Timer { .. } => {}
        }
        self.schedule_tick(HOUSEKEEPING_TIMER, actions);
    }

    /// Subscribes to the server list at the first event if it is not delivered automatically.
    fn start(&mut self, actions: &mut Vec<Action>) {
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            if self.settings.subscribe_to_list {
                actions.push(Action::Subscribe);
            }
        }
    }

    fn handle_zone_shares(&mut self, zones: Arc<[ZoneShares]>) {
        self.zone_shares = zones;
        self.count_ready_servers();
    }

    /// Adds or replaces a class. The estimates of a replaced class are kept.
    fn handle_class(&mut self, class: RequestClass) {
        match self.settings.classes.iter_mut().find(|known| known.name == class.name) {
            Some(known) => *known = class,
            None => {
                self.settings.classes.push(class);
                self.classes.push(ClassEstimate::default());
            }
        }
        self.shortest_target = shortest_target(&self.settings.classes);
    }

    fn handle_retry_budget(&mut self, budget: RetryBudget) {
        self.settings.retry_budget = budget;
        self.retry_tokens = self.retry_tokens.min(budget.burst);
    }

    /// Marks a request whose streamed response has begun: it is neither retried, hedged nor cancelled any more.
    fn handle_stream_started(&mut self, request: &RequestId) {
        if let Some(request) = self.requests.get_mut(request) {
            request.is_streaming = true;
        }
    }
}
