//! The program of the store. It reads settings and arguments, and carries calls between the network, the disk and the
//! [`Store`]; it never decides.

use argh::FromArgs;
use ivygate_cluster::{News, Pull};
use ivygate_config_store::{Ask, CallId, Change, Disk, Keeper, Kept, Outcome, Output, Reply, Store};
use ivygate_control_state::{listing, Amended, Tables};
use ivygate_rpc::{answer_of, serve, Boot, Calls, Fault, Incoming, Kind, Matcher, Outgoing};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::oneshot;
use tokio::time::{interval, Instant, MissedTickBehavior};

/// Keeps the configuration together with the other stores.
#[derive(FromArgs)]
struct Arguments {
    /// log details too
    #[argh(switch)]
    verbose: bool,
}

/// How long another store's answer is waited for, and how much longer for each item that goes with the question.
const ANSWER: Duration = Duration::from_millis(1_000);
const ITEM: Duration = Duration::from_micros(500);
/// And for a part of what one lacks.
const PART: Duration = Duration::from_millis(4_000);
/// How long a store that ends tries to give its place to a machine that waits for one.
const LEAVE: Duration = Duration::from_millis(2_500);
/// Period of the store's clock.
const TICK: Duration = Duration::from_millis(50);

/// Stands for the incarnation while no disk has been opened: the store does not act then.
const NO_DISK: u64 = 0;

#[derive(Clone, Copy)]
enum Call {
    Round,
    News,
    Amend,
    Read,
    Begin,
    Finish,
    Duty,
    Status,
}

/// A registry that takes a duty.
#[derive(Deserialize)]
struct Taking {
    name: String,
    holder: Ipv4Addr,
}

fn calls() -> Vec<Matcher<Call>> {
    use Matcher::{Any, At, End};
    vec![
        At("round", vec![End("POST", Call::Round)]),
        At("news", vec![End("POST", Call::News)]),
        At("duty", vec![End("POST", Call::Duty)]),
        At(
            "config",
            vec![At("amend", vec![End("POST", Call::Amend)]), At("read", vec![End("GET", Call::Read)])],
        ),
        At(
            "drain",
            vec![Any(vec![
                At("begin", vec![End("POST", Call::Begin)]),
                At("finish", vec![End("POST", Call::Finish)]),
            ])],
        ),
        At("status", vec![End("GET", Call::Status)]),
    ]
}

/// A question on its way.
#[derive(Serialize, Deserialize)]
struct Asking {
    from: Ipv4Addr,
    ask: Ask,
}

struct Cairn {
    boot: Boot,
    start: Instant,
    calls: Calls,
    tree: Vec<Matcher<Call>>,
    store: RefCell<Store>,
    disk: RefCell<Keeper<Disk>>,
    folder: PathBuf,
    news: Rc<News>,
    /// The last change of what stands that is told on.
    told: Cell<u64>,
    waiting: RefCell<HashMap<CallId, oneshot::Sender<Result<Outcome, Fault>>>>,
    next: Cell<CallId>,
}

impl Cairn {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Lets the store act, and carries out what it wants, in order. A disk that fails voids its memory, and all that
    /// rests on it: nothing of that is carried out.
    ///
    /// # Errors
    /// If the disk refuses: the store does not act.
    fn with<T>(self: &Rc<Self>, act: impl FnOnce(&mut Store, f64) -> T) -> Result<T, Fault> {
        if let Some(fault) = self.disk.borrow().fault() {
            return Err(fault);
        }
        let (value, outputs) = {
            let mut store = self.store.borrow_mut();
            let value = act(&mut store, self.now());
            let outputs = store.take_outputs();
            if outputs.iter().any(|output| matches!(output, Output::Save)) {
                if let Err(fault) = self.disk.borrow_mut().save(self.now(), store.kept()) {
                    for (_, waiting) in self.waiting.borrow_mut().drain() {
                        // Whoever called may have left.
                        let _ = waiting.send(Err(fault.clone()));
                    }
                    return Err(fault);
                }
            }
            (value, outputs)
        };
        for output in outputs {
            match output {
                Output::Save => {}
                Output::Send { to, number, ask } => self.send(to, number, ask),
                Output::Answer { call, result } => {
                    if let Some(waiting) = self.waiting.borrow_mut().remove(&call) {
                        // Whoever called may have left.
                        let _ = waiting.send(result);
                    }
                }
            }
        }
        self.tell();
        Ok(value)
    }

    /// Opens a disk again that has refused, and begins anew with what it holds.
    fn reopen(&self) {
        let now = self.now();
        if !self.disk.borrow().due(now) {
            return;
        }
        let opened = Disk::open(&self.folder, fastrand::u64(1..));
        if let Some(kept) = self.disk.borrow_mut().opened(now, opened) {
            let mut store = self.store.borrow_mut();
            // The first start of the whole system is over for one whose state was lost since.
            let bootstrap =
                self.boot.bootstrap && [NO_DISK, kept.incarnation].contains(&store.kept().incarnation);
            *store = begun(&self.boot, bootstrap, kept);
            self.told.set(0);
        }
    }

    /// Passes on what stands.
    fn tell(&self) {
        let store = self.store.borrow();
        let items = &store.kept().items;
        if items.changes() > self.told.get() {
            let news = items.since(self.told.get(), Tables::PUBLISHED);
            self.told.set(items.changes());
            self.news.merge(news);
        }
        if let Some(age) = store.contact(self.now()) {
            self.news.freshen(age);
        }
    }

    fn send(self: &Rc<Self>, to: Ipv4Addr, number: u64, ask: Ask) {
        let cairn = self.clone();
        let term = self.disk.borrow().term();
        tokio::task::spawn_local(async move {
            let address = SocketAddr::from((to, cairn.boot.ports().store));
            let wait = match &ask {
                Ask::CatchUp { .. } => PART,
                Ask::Accept { missing, items, .. } => ANSWER + ITEM * (missing.len() + items.len()) as u32,
                Ask::Learn { items, .. } => ANSWER + ITEM * items.len() as u32,
                _ => ANSWER,
            };
            let asking = Asking { from: cairn.boot.ip, ask };
            let reply: Result<Reply, Fault> = cairn.calls.post(address, "/round", &asking, wait).await;
            if let Err(fault) = &reply {
                tracing::debug!("{to} did not answer: {fault}");
            }
            if cairn.disk.borrow().term() == term {
                // A store that may not speak asks nothing.
                let _ = cairn.with(|store, now| store.replied(now, number, reply.ok()));
            }
        });
    }

    /// Has a call carried out by the group.
    async fn call(self: &Rc<Self>, change: Change) -> Result<Outcome, Fault> {
        let id = self.next.get();
        self.next.set(id + 1);
        let (answer, answered) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, answer);
        if let Err(fault) = self.with(|store, now| store.call(now, id, change)) {
            self.waiting.borrow_mut().remove(&id);
            return Err(fault);
        }
        answered.await.unwrap_or_else(|_| Err(Fault::new(Kind::Late, "the call was dropped")))
    }

    async fn answer(self: Rc<Self>, incoming: Incoming) -> Outgoing {
        let Incoming { method, path, body, .. } = incoming;
        let found = match Matcher::find(&self.tree, &method, &path) {
            Ok(found) => found,
            Err(fault) => return answer_of::<()>(Err(fault)),
        };
        let malformed = |e: serde_json::Error| Fault::new(Kind::Malformed, e.to_string());
        match found.call {
            Call::Round => {
                answer_of(serde_json::from_slice(&body).map_err(malformed).and_then(|asking: Asking| {
                    self.with(|store, now| store.asked(now, asking.from, asking.ask))
                }))
            }
            Call::News => match serde_json::from_slice::<Pull>(&body) {
                Ok(pull) => answer_of(Ok(self.news.pulled(pull).await)),
                Err(error) => answer_of::<()>(Err(malformed(error))),
            },
            Call::Amend => match Amended::read(&body) {
                Ok(amended) => answer_of(self.call(Change::Amend(amended)).await.map(drop)),
                Err(fault) => answer_of::<()>(Err(fault)),
            },
            Call::Read => answer_of(match self.call(Change::Read).await {
                Ok(Outcome::Read(items)) => Ok(listing(&items)),
                Ok(_) => Err(Fault::new(Kind::Late, "the reading was dropped")),
                Err(fault) => Err(fault),
            }),
            Call::Begin | Call::Finish => {
                let zone = found.kept.first().copied().unwrap_or_default().to_owned();
                let on = matches!(found.call, Call::Begin);
                answer_of(self.call(Change::Drain { zone, on }).await.map(drop))
            }
            Call::Duty => match serde_json::from_slice::<Taking>(&body) {
                // The epoch of this very call: what stands by now may be another's.
                Ok(Taking { name, holder }) => {
                    answer_of(match self.call(Change::Duty { name, holder }).await {
                        Ok(Outcome::Epoch(epoch)) => Ok(epoch),
                        Ok(_) => Err(Fault::new(Kind::Late, "the duty was dropped")),
                        Err(fault) => Err(fault),
                    })
                }
                Err(error) => answer_of::<()>(Err(malformed(error))),
            },
            Call::Status => {
                let store = self.store.borrow();
                answer_of(Ok(serde_json::json!({
                    "standing": format!("{:?}", store.standing()),
                    "members": store.members(),
                    "items": store.kept().items.len(),
                    "digest": format!("{:016x}", store.kept().items.digest(Tables::KEPT)),
                    "chosen": store.kept().chosen,
                    "inTouchMs": store.contact(self.now()),
                    "disk": self.disk.borrow().fault().map(|fault| fault.to_string()),
                })))
            }
        }
    }
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    ivygate_rpc::start_logs("cairn", arguments.verbose);
    ivygate_rpc::run_program(run)
}

/// A store with what its disk held.
fn begun(boot: &Boot, bootstrap: bool, kept: Kept) -> Store {
    let store = Store::new(boot.ip, boot.seed_machines(), bootstrap, kept, fastrand::u64(..));
    tracing::info!("standing is {:?}, {} items are on disk", store.standing(), store.kept().items.len());
    store
}

async fn run(boot: Boot) -> Result<(), Fault> {
    let folder =
        boot.datadir.clone().ok_or_else(|| Fault::new(Kind::Setting, "datadir: a store needs a disk"))?;
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|e| Fault::new(Kind::Setting, e.to_string()))?;
    let _hangup = signal(SignalKind::hangup()).map_err(|e| Fault::new(Kind::Setting, e.to_string()))?;
    let (disk, kept) = Keeper::new(0.0, Disk::open(&folder, fastrand::u64(1..)));
    let store = begun(&boot, boot.bootstrap, kept.unwrap_or_else(|| Kept::new(NO_DISK)));
    let address = SocketAddr::from((boot.ip, boot.ports().store));
    let cairn = Rc::new(Cairn {
        boot,
        start: Instant::now(),
        calls: Calls::default(),
        tree: calls(),
        store: RefCell::new(store),
        disk: RefCell::new(disk),
        folder,
        news: News::new(fastrand::u64(1..)),
        told: Cell::new(0),
        waiting: RefCell::default(),
        next: Cell::new(1),
    });
    let answering = cairn.clone();
    let server = serve(address, Rc::new(move |incoming| Box::pin(answering.clone().answer(incoming))))?;
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut standing = cairn.store.borrow().standing();
    let mut ends: Option<Instant> = None;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                cairn.reopen();
                // A store that may not speak has nothing to do.
                let _ = cairn.with(|store, now| store.tick(now));
                let next = cairn.store.borrow().standing();
                if next != standing {
                    tracing::info!("standing is {next:?} now, with {:?}", cairn.store.borrow().members());
                    standing = next;
                }
            }
            _ = terminate.recv(), if ends.is_none() => {
                if !cairn.with(|store, now| store.leave(now)).unwrap_or(false) {
                    break;
                }
                tracing::info!("gives its place to a machine that waits for one");
                ends = Some(Instant::now() + LEAVE);
            }
        }
        if ends.is_some_and(|at| Instant::now() >= at || cairn.store.borrow().is_relieved()) {
            break;
        }
    }
    server.wind_up().await;
    Ok(())
}
