//! A process's copy of control state, and pulls of what is new in it. A pull waits for news for a moment.

use crate::contact::{age_when_read, Contact};
use crate::follower::Follower;
use crate::Millis;
use ivygate_control_state::{Item, Items, Tables};
use ivygate_rpc::{Calls, Fault, Kind};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, Ref, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

/// The path at which every process is pulled from.
const PATH: &str = "/news";
/// Longest time that a pull waits for news.
const HOLD: f64 = 0.6;
/// And that its caller waits beyond that.
const PATIENCE: f64 = 0.8;
/// Pause after a pull that failed.
const PAUSE: Duration = Duration::from_millis(100);

/// A pull.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pull {
    /// The life of the copy that the last pull was answered from.
    pub life: u64,
    /// The last change had from it.
    pub since: u64,
    /// How long to wait for news, in seconds.
    pub hold: f64,
    /// The tables wanted, as bits.
    pub tables: u16,
}

/// The answer to a pull.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pulled {
    /// The life of the copy.
    pub life: u64,
    /// The last change in it.
    pub change: u64,
    /// How long ago it was surely in touch with more than half of the core, in milliseconds.
    pub age: Millis,
    /// How long the pull was held before that was told, in milliseconds: only the rest of the time since the question
    /// adds to the age.
    #[serde(default, rename = "heldMs")]
    pub held: Millis,
    /// What is new.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub items: Vec<Arc<Item>>,
}

/// A copy that others pull from.
pub struct News {
    items: RefCell<Items>,
    changed: Notify,
    life: u64,
    start: Instant,
    contact: Cell<Contact>,
}

impl News {
    /// An empty copy; `life` must differ from that of earlier ones of this process.
    pub fn new(life: u64) -> Rc<Self> {
        Rc::new(Self {
            items: RefCell::default(),
            changed: Notify::new(),
            life,
            start: Instant::now(),
            contact: Cell::default(),
        })
    }

    /// What it holds.
    pub fn items(&self) -> Ref<'_, Items> {
        self.items.borrow()
    }

    /// Takes in items; tells which were news.
    pub fn merge(&self, items: impl IntoIterator<Item = Arc<Item>>) -> Vec<Arc<Item>> {
        let mut held = self.items.borrow_mut();
        let news: Vec<_> = items.into_iter().filter(|item| held.merge_shared(item.clone())).collect();
        drop(held);
        if !news.is_empty() {
            self.changed.notify_waiters();
        }
        news
    }

    /// Forgets items for good.
    pub fn forget(&self, keys: &[ivygate_control_state::Key]) {
        self.items.borrow_mut().forget(keys);
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// It was in touch with more than half of the core so long ago, in milliseconds.
    pub fn freshen(&self, age: Millis) {
        let mut contact = self.contact.get();
        contact.freshen(self.now(), age);
        self.contact.set(contact);
    }

    /// How long ago that was, in milliseconds; a day where it never was.
    pub fn age(&self) -> Millis {
        self.contact.get().age(self.now())
    }

    /// Waits for the next change.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Answers a pull: at once where there is something new, else when there is or its time is up.
    pub async fn pulled(&self, pull: Pull) -> Pulled {
        let tables = Tables::from_bits_truncate(pull.tables);
        let since = if pull.life == self.life { pull.since } else { 0 };
        let begun = self.now();
        let end = Instant::now() + Duration::from_secs_f64(pull.hold.clamp(0.0, 5.0));
        loop {
            let changed = self.changed.notified();
            let (change, items) = {
                let held = self.items.borrow();
                (held.changes(), held.since(since, tables))
            };
            let over = Instant::now() >= end || pull.life != self.life;
            if !items.is_empty() || over {
                let held = self.now() - begun;
                return Pulled { life: self.life, change, age: self.age(), held, items };
            }
            let _ = timeout(end - Instant::now(), changed).await;
        }
    }
}

/// Whom a process may pull from.
pub trait Source {
    /// The candidates now, the best first.
    fn candidates(&self) -> Vec<SocketAddr>;

    /// What came.
    fn came(&self, news: Vec<Arc<Item>>);
}

/// Pulls news into a copy for as long as the process runs.
pub fn follow<S: Source + 'static>(
    news: Rc<News>,
    calls: Calls,
    source: Rc<S>,
    tables: Tables,
) -> Pin<Box<dyn Future<Output = ()>>> {
    Box::pin(async move {
        let start = Instant::now();
        let mut follower = Follower::default();
        loop {
            let now = || start.elapsed().as_secs_f64() * 1000.0;
            let Some((to, life, since)) = follower.next(now(), &source.candidates()) else {
                sleep(PAUSE).await;
                continue;
            };
            let pull = Pull { life, since, hold: HOLD, tables: tables.bits() };
            let asked = now();
            let wait = Duration::from_secs_f64(HOLD + PATIENCE);
            let answer: Result<Pulled, Fault> = calls.post(to, PATH, &pull, wait).await;
            match answer {
                Ok(pulled) => {
                    let age = age_when_read(asked, now(), pulled.age, pulled.held);
                    let in_touch = follower.came(now(), to, pulled.life, pulled.change, age);
                    news.freshen(age);
                    let came = news.merge(pulled.items);
                    if !came.is_empty() {
                        source.came(came);
                    }
                    // Where all are out of touch they are asked in turn, without haste.
                    if !in_touch {
                        sleep(PAUSE).await;
                    }
                    // Guards against a parent that answers at once, always.
                    if now() < asked + 5.0 {
                        sleep(Duration::from_millis(5)).await;
                    }
                }
                Err(fault) => {
                    tracing::debug!("no news from {to}: {fault}");
                    follower.failed(now(), to, fault.kind == Kind::Unreachable);
                    sleep(PAUSE).await;
                }
            }
        }
    })
}
