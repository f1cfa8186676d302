//! The process round the fronts: listeners, reload, signals, end.

use crate::front::{Shared, SidecarFront};
use crate::operator::{self, OperatorFront};
use crate::orders::Orders;
use crate::site::Site;
use crate::talk::{keys, Talk};
use ivygate_config::{Listener, Model, Severity};
use ivygate_files::ReadError;
use ivygate_journal::JournalError;
use ivygate_runtime::{duration_from_millis, listen, ClientLimits, Clock, HttpServer};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::timeout;

/// SIGXFSZ, for which the crate has no name.
const FILE_SIZE: i32 = 25;

/// Why a sidecar does not start.
#[derive(Debug)]
pub enum StartError {
    /// The configuration's file can't be read.
    Unreadable(ReadError),
    /// A file can't be written.
    Unwritable(String, std::io::Error),
    /// It can't be used; the report says where and why.
    Configuration(String),
    /// An address can't be listened on.
    Listen(SocketAddr, std::io::Error),
    /// The journal can't be written.
    Journal(JournalError),
    /// A key of the group can't be read.
    Key(String),
    /// The system refuses something else that is needed.
    System(std::io::Error),
}

impl StartError {
    /// Whether it is a whole report, with places and all.
    pub fn is_report(&self) -> bool {
        matches!(self, StartError::Configuration(_))
    }

    /// Whether the configuration is to blame, rather than a fault at run time.
    pub fn is_configuration(&self) -> bool {
        matches!(self, StartError::Unreadable(_) | StartError::Configuration(_) | StartError::Key(_))
    }
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Unreadable(error) => error.fmt(f),
            StartError::Unwritable(path, error) => write!(f, "cannot write {path}: {error}"),
            StartError::Configuration(report) => f.write_str(report.trim_end()),
            StartError::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            StartError::Journal(error) => error.fmt(f),
            StartError::Key(why) => write!(f, "the group's key: {why}"),
            StartError::System(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for StartError {}

/// A listener at work.
struct Port {
    /// As the configuration has it; its port may be 0.
    named: SocketAddr,
    bound: SocketAddr,
    clients: Rc<HttpServer<SidecarFront>>,
    accepting: JoinHandle<()>,
}

impl Port {
    /// Whether it is the listener of a configuration: also one that names the port which the system chose.
    fn is(&self, address: SocketAddr) -> bool {
        address == self.named || address == self.bound
    }
}

/// The operators' listener at work.
struct Desk {
    named: SocketAddr,
    bound: SocketAddr,
    clients: Rc<HttpServer<OperatorFront>>,
    accepting: JoinHandle<()>,
}

/// A sidecar at work, on the thread that started it.
pub struct Sidecar {
    clock: Clock,
    shared: Rc<Shared>,
    ports: RefCell<Vec<Port>>,
    desk: RefCell<Option<Desk>>,
    drain: Cell<f64>,
    /// The group's address that this process began with.
    group: Option<SocketAddr>,
    /// The journal that this process began with.
    journal: Option<ivygate_config::Journal>,
}

impl Sidecar {
    /// Starts one; to be called within a `LocalSet`.
    ///
    /// # Errors
    /// If an address can't be listened on or a decision module can't act on its settings.
    pub fn start(model: &Model) -> Result<Self, StartError> {
        let clock = Clock::new();
        let bound = bind(model.listeners.iter())?;
        let desk = model.operator.as_ref().map(|o| bind_one(o.address)).transpose()?;
        let talk = match &model.group {
            Some(group) => {
                let keys = keys(group).map_err(StartError::Key)?;
                Some(
                    Talk::open(group, keys, clock)
                        .map_err(|error| StartError::Listen(group.listen, error))?,
                )
            }
            None => None,
        };
        let site = Site::new(model, None, clock).map_err(StartError::Configuration)?;
        let orders = model.journal.as_ref().map(Orders::open).transpose().map_err(StartError::Journal)?;
        site.record_in(orders.as_ref());
        let sidecar = Self {
            clock,
            shared: Shared::new(site, orders),
            journal: model.journal.clone(),
            ports: RefCell::default(),
            desk: RefCell::default(),
            drain: Cell::new(model.limits.drain),
            group: model.group.as_ref().map(|group| group.listen),
        };
        if let Some(talk) = talk {
            sidecar.shared.talk.replace(Some(talk.clone()));
            tokio::task::spawn_local(talk.run(sidecar.shared.clone()));
        }
        sidecar.open(bound);
        sidecar.open_desk(model, desk);
        Ok(sidecar)
    }

    /// Where operators ask, if they may.
    pub fn operator(&self) -> Option<SocketAddr> {
        Some(self.desk.borrow().as_ref()?.bound)
    }

    fn open_desk(&self, model: &Model, socket: Option<(TcpListener, SocketAddr)>) {
        if let Some((operator, (socket, bound))) = model.operator.as_ref().zip(socket) {
            let front = Rc::new(OperatorFront::new(self.shared.clone()));
            let clients = HttpServer::new(front, operator::limits());
            let accepting = tokio::task::spawn_local(clients.clone().accept(socket));
            self.desk.replace(Some(Desk { named: operator.address, bound, clients, accepting }));
        }
    }

    /// Where clients connect.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.ports.borrow().iter().map(|port| port.bound).collect()
    }

    fn open(&self, bound: Vec<(Listener, TcpListener, SocketAddr)>) {
        for (listener, socket, address) in bound {
            let (named, limits) = (listener.address, client_limits(&listener));
            let front = Rc::new(SidecarFront::new(self.shared.clone(), listener));
            let clients = HttpServer::new(front, limits);
            let accepting = tokio::task::spawn_local(clients.clone().accept(socket));
            self.ports.borrow_mut().push(Port { named, bound: address, clients, accepting });
        }
    }

    /// Puts another configuration to work, whole or not at all. Requests that are open end under the one they
    /// began with.
    ///
    /// # Errors
    /// If it can't be put to work; then nothing has changed.
    pub fn reload(&self, model: &Model) -> Result<(), StartError> {
        let is_open = |l: &&Listener| self.ports.borrow().iter().any(|port| port.is(l.address));
        let bound = bind(model.listeners.iter().filter(|l| !is_open(l)))?;
        let kept = self.desk.borrow().as_ref().map(|desk| desk.named);
        let named = model.operator.as_ref().map(|operator| operator.address);
        let desk = named.filter(|_| kept != named).map(bind_one).transpose()?;
        let before = self.shared.site.borrow().clone();
        let keys = model.group.as_ref().map(keys).transpose().map_err(StartError::Key)?;
        let site = Site::new(model, Some(&before), self.clock).map_err(StartError::Configuration)?;
        site.record_in(self.shared.orders.as_ref());
        if model.journal != self.journal {
            eprintln!("ivygate: another journal needs a restart; the one from the start stays in use");
        }
        if model.group.as_ref().map(|group| group.listen) != self.group {
            eprintln!(
                "ivygate: another address of the group needs a restart; the one from the start stays in use"
            );
        }
        // From here on nothing can fail.
        if let (Some(talk), Some(group)) = (&*self.shared.talk.borrow(), &model.group) {
            talk.handle_settings(group, keys.unwrap_or_default());
        }
        site.begin(&before);
        self.drain.set(model.limits.drain);
        self.shared.site.replace(Rc::new(site));
        let mut gone = Vec::new();
        self.ports.borrow_mut().retain_mut(|port| {
            let Some(listener) = model.listeners.iter().find(|l| port.is(l.address)) else {
                let ended = tokio::task::spawn_local(async {});
                gone.push((port.clients.clone(), std::mem::replace(&mut port.accepting, ended)));
                return false;
            };
            port.clients.set_limits(client_limits(listener));
            port.clients.handler().listener.replace(Rc::new(listener.clone()));
            true
        });
        for (clients, accepting) in gone {
            tokio::task::spawn_local(async move { clients.shut_down(accepting).await });
        }
        self.open(bound);
        if kept != named {
            if let Some(Desk { clients, accepting, .. }) = self.desk.take() {
                tokio::task::spawn_local(async move { clients.shut_down(accepting).await });
            }
            self.open_desk(model, desk);
        }
        Ok(())
    }

    /// Ends in good order: finishes what has been taken and tells clients to go. Streams that take longer than
    /// the configuration allows are broken off, which their clients can tell.
    pub async fn wind_up(&self) {
        if timeout(duration_from_millis(self.drain.get()), self.finish()).await.is_err() {
            eprintln!("ivygate: broke off what was still open after {} s", self.drain.get() / 1000.0);
        }
        if let Some(orders) = &self.shared.orders {
            orders.close();
        }
    }

    async fn finish(&self) {
        let ports = self.ports.take();
        let desk = self.desk.take();
        let mut ending: Vec<_> = ports
            .into_iter()
            .map(|port| tokio::task::spawn_local(async move { port.clients.shut_down(port.accepting).await }))
            .collect();
        ending.extend(desk.map(|desk| {
            tokio::task::spawn_local(async move { desk.clients.shut_down(desk.accepting).await })
        }));
        for one in ending {
            // A failure of its own changes nothing about the end.
            let _ = one.await;
        }
    }
}

/// Most that hyper holds of a connection at once: enough for answers to go on in few pieces.
const BUFFER: usize = 64 << 10;

fn client_limits(listener: &Listener) -> ClientLimits {
    ClientLimits {
        max_buffer_bytes: listener.head.max(BUFFER),
        strict_head_bytes: Some(listener.head),
        read_stall_timeout: Some(duration_from_millis(listener.read_stall)),
        receive_timeout: duration_from_millis(listener.head_within),
        idle_timeout: duration_from_millis(listener.idle),
        idle_timeout_after_one: duration_from_millis(listener.idle),
        ..ClientLimits::new(listener.connections)
    }
}

fn bind<'a>(
    listeners: impl Iterator<Item = &'a Listener>,
) -> Result<Vec<(Listener, TcpListener, SocketAddr)>, StartError> {
    listeners
        .map(|listener| {
            let (socket, address) = bind_one(listener.address)?;
            Ok((listener.clone(), socket, address))
        })
        .collect()
}

fn bind_one(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let fail = |error| StartError::Listen(address, error);
    let socket = listen(address).map_err(fail)?;
    let bound = socket.local_addr().map_err(fail)?;
    Ok((socket, bound))
}

/// Reads and checks a file; warnings go to standard error.
fn load(path: &Path) -> Result<Model, StartError> {
    let loaded = ivygate_files::load(path).map_err(StartError::Unreadable)?;
    let report = loaded.report(Severity::Warning, std::io::stderr().is_terminal());
    match loaded.model {
        Some(model) => {
            eprint!("{report}");
            Ok(model)
        }
        None => Err(StartError::Configuration(report)),
    }
}

/// Serves by a configuration's file until a signal ends it. `events` is called before there can be any, perhaps more than
/// once, and not where there are none: whoever takes them costs memory.
///
/// # Errors
/// If it does not start.
pub fn run(path: &Path, events: impl Fn() + 'static) -> Result<(), StartError> {
    let load = move |path: &Path| {
        let model = load(path)?;
        if model.pools.iter().any(|pool| pool.domains.is_some()) {
            events();
        }
        Ok(model)
    };
    let model = load(path)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::System)?;
    LocalSet::new().block_on(&runtime, async {
        let listen_for = |kind| signal(kind).map_err(StartError::System);
        let mut terminate = listen_for(SignalKind::terminate())?;
        let mut interrupt = listen_for(SignalKind::interrupt())?;
        // Asked for before anything else is done: until then a signal would end the process.
        let hangups = listen_for(SignalKind::hangup())?;
        // Taken and not heeded: a file that has reached the limit of its size is then a write that fails, as on a
        // full disk, and not the end of the process.
        let _ = listen_for(SignalKind::from_raw(FILE_SIZE))?;
        let sidecar = Rc::new(Sidecar::start(&model)?);
        for address in sidecar.addresses() {
            eprintln!("ivygate: listening on {address}");
        }
        if let Some(address) = sidecar.operator() {
            eprintln!("ivygate: operators ask on {address}");
        }
        let reloading = tokio::task::spawn_local(reload_on(hangups, sidecar.clone(), path.to_owned(), load));
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        reloading.abort();
        sidecar.wind_up().await;
        // What has been passed on to the system may still be on its way out.
        tokio::time::sleep(Duration::from_millis(1)).await;
        Ok(())
    })
}

async fn reload_on(
    mut hangups: Signal,
    sidecar: Rc<Sidecar>,
    path: std::path::PathBuf,
    load: impl Fn(&Path) -> Result<Model, StartError>,
) {
    while hangups.recv().await.is_some() {
        match load(&path).and_then(|model| sidecar.reload(&model)) {
            Ok(()) => eprintln!("ivygate: {} read anew", path.display()),
            Err(error) => eprintln!("ivygate: the configuration stays as it was: {error}"),
        }
    }
}
