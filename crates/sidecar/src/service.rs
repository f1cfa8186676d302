//! Process lifecycle: listeners, reload, signals and shutdown.

use crate::active_config::ActiveConfig;
use crate::front::{Shared, SidecarFront};
use crate::gossip::{read_keys, Gossip};
use crate::operator::{self, OperatorFront};
use crate::order_recorder::OrderRecorder;
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

/// Signal sent when a file reaches the size limit; tokio has no constant for it.
const SIGXFSZ: i32 = 25;

/// Error that prevents a sidecar from starting or reloading.
#[derive(Debug)]
pub enum StartError {
    /// The configuration file cannot be read.
    Unreadable(ReadError),
    /// A file cannot be written.
    Unwritable(String, std::io::Error),
    /// The configuration is invalid; holds the report.
    Configuration(String),
    /// A listener cannot be opened.
    Listen(SocketAddr, std::io::Error),
    /// The journal cannot be opened.
    Journal(JournalError),
    /// A key of the gossip group cannot be read.
    Key(String),
    /// Another system call failed.
    System(std::io::Error),
}

impl StartError {
    /// Returns whether the error is a complete report with source locations.
    pub fn is_report(&self) -> bool {
        matches!(self, StartError::Configuration(_))
    }

    /// Returns whether the configuration is at fault, rather than the environment.
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
            StartError::Key(error) => write!(f, "cannot read the group's key: {error}"),
            StartError::System(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for StartError {}

/// Open listener for clients.
struct ClientListener {
    /// Configured address; its port may be 0.
    configured: SocketAddr,
    bound: SocketAddr,
    clients: Rc<HttpServer<SidecarFront>>,
    accepting: JoinHandle<()>,
}

impl ClientListener {
    /// Returns whether this listener serves a configured address, either as first configured or with the port that the
    /// system assigned.
    fn serves(&self, address: SocketAddr) -> bool {
        address == self.configured || address == self.bound
    }
}

/// Open listener for operators.
struct OperatorListener {
    configured: SocketAddr,
    bound: SocketAddr,
    clients: Rc<HttpServer<OperatorFront>>,
    accepting: JoinHandle<()>,
}

/// Running sidecar; stays on the thread that started it.
pub struct Sidecar {
    clock: Clock,
    shared: Rc<Shared>,
    listeners: RefCell<Vec<ClientListener>>,
    operator_listener: RefCell<Option<OperatorListener>>,
    drain_timeout_ms: Cell<f64>,
    /// Address of the gossip group at startup.
    group: Option<SocketAddr>,
    /// Journal settings at startup.
    journal: Option<ivygate_config::Journal>,
}

impl Sidecar {
    /// Starts a sidecar. Must be called within a `LocalSet`.
    ///
    /// # Errors
    /// Returns an error if a listener cannot be opened, or the settings, keys or journal cannot be used.
    pub fn start(model: &Model) -> Result<Self, StartError> {
        let clock = Clock::new();
        let bound = bind(model.listeners.iter())?;
        let operator_listener = model.operator.as_ref().map(|o| bind_address(o.address)).transpose()?;
        let gossip = match &model.group {
            Some(group) => {
                let keys = read_keys(group).map_err(StartError::Key)?;
                Some(
                    Gossip::open(group, keys, clock)
                        .map_err(|error| StartError::Listen(group.listen, error))?,
                )
            }
            None => None,
        };
        let active_config = ActiveConfig::new(model, None, clock).map_err(StartError::Configuration)?;
        let orders =
            model.journal.as_ref().map(OrderRecorder::open).transpose().map_err(StartError::Journal)?;
        active_config.record_in(orders.as_ref());
        let sidecar = Self {
            clock,
            shared: Shared::new(active_config, orders),
            journal: model.journal.clone(),
            listeners: RefCell::default(),
            operator_listener: RefCell::default(),
            drain_timeout_ms: Cell::new(model.limits.drain),
            group: model.group.as_ref().map(|group| group.listen),
        };
        if let Some(gossip) = gossip {
            sidecar.shared.gossip.replace(Some(gossip.clone()));
            tokio::task::spawn_local(gossip.run(sidecar.shared.clone()));
        }
        sidecar.open(bound);
        sidecar.open_operator_listener(model, operator_listener);
        Ok(sidecar)
    }

    /// Returns the address of the operator listener, if there is one.
    pub fn operator(&self) -> Option<SocketAddr> {
        Some(self.operator_listener.borrow().as_ref()?.bound)
    }

    fn open_operator_listener(&self, model: &Model, socket: Option<(TcpListener, SocketAddr)>) {
        if let Some((operator, (socket, bound))) = model.operator.as_ref().zip(socket) {
            let front = Rc::new(OperatorFront::new(self.shared.clone()));
            let clients = HttpServer::new(front, operator::limits());
            let accepting = tokio::task::spawn_local(clients.clone().accept(socket));
            self.operator_listener.replace(Some(OperatorListener {
                configured: operator.address,
                bound,
                clients,
                accepting,
            }));
        }
    }

    /// Returns the addresses of the client listeners.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.listeners.borrow().iter().map(|listener| listener.bound).collect()
    }

    fn open(&self, bound: Vec<(Listener, TcpListener, SocketAddr)>) {
        for (listener, socket, address) in bound {
            let (configured, limits) = (listener.address, client_limits(&listener));
            let front = Rc::new(SidecarFront::new(self.shared.clone(), listener));
            let clients = HttpServer::new(front, limits);
            let accepting = tokio::task::spawn_local(clients.clone().accept(socket));
            self.listeners.borrow_mut().push(ClientListener {
                configured,
                bound: address,
                clients,
                accepting,
            });
        }
    }

    /// Replaces the configuration, completely or not at all. Open requests finish under the previous one.
    ///
    /// # Errors
    /// Returns an error if the configuration cannot be used; nothing has changed then.
    pub fn reload(&self, model: &Model) -> Result<(), StartError> {
        let is_open =
            |l: &&Listener| self.listeners.borrow().iter().any(|listener| listener.serves(l.address));
        let bound = bind(model.listeners.iter().filter(|l| !is_open(l)))?;
        let current = self.operator_listener.borrow().as_ref().map(|listener| listener.configured);
        let configured = model.operator.as_ref().map(|operator| operator.address);
        let operator_listener = configured.filter(|_| current != configured).map(bind_address).transpose()?;
        let before = self.shared.active_config.borrow().clone();
        let keys = model.group.as_ref().map(read_keys).transpose().map_err(StartError::Key)?;
        let active_config =
            ActiveConfig::new(model, Some(&before), self.clock).map_err(StartError::Configuration)?;
        active_config.record_in(self.shared.orders.as_ref());
        if model.journal != self.journal {
            eprintln!(
                "ivygate: changed journal settings take effect after a restart; the initial ones stay in use"
            );
        }
        if model.group.as_ref().map(|group| group.listen) != self.group {
            eprintln!(
                "ivygate: a changed group address takes effect after a restart; the initial one stays in use"
            );
        }
        // Nothing below this line can fail.
        if let (Some(gossip), Some(group)) = (&*self.shared.gossip.borrow(), &model.group) {
            gossip.handle_settings(group, keys.unwrap_or_default());
        }
        active_config.activate(&before);
        self.drain_timeout_ms.set(model.limits.drain);
        self.shared.active_config.replace(Rc::new(active_config));
        let mut removed = Vec::new();
        self.listeners.borrow_mut().retain_mut(|open| {
            let Some(listener) = model.listeners.iter().find(|l| open.serves(l.address)) else {
                let finished = tokio::task::spawn_local(async {});
                removed.push((open.clients.clone(), std::mem::replace(&mut open.accepting, finished)));
                return false;
            };
            open.clients.set_limits(client_limits(listener));
            open.clients.handler().listener.replace(Rc::new(listener.clone()));
            true
        });
        for (clients, accepting) in removed {
            tokio::task::spawn_local(async move { clients.shut_down(accepting).await });
        }
        self.open(bound);
        if current != configured {
            if let Some(OperatorListener { clients, accepting, .. }) = self.operator_listener.take() {
                tokio::task::spawn_local(async move { clients.shut_down(accepting).await });
            }
            self.open_operator_listener(model, operator_listener);
        }
        Ok(())
    }

    /// Shuts down gracefully: finishes accepted requests and closes client connections. Requests that exceed the drain
    /// timeout are aborted, which their clients can detect.
    pub async fn shut_down(&self) {
        if timeout(duration_from_millis(self.drain_timeout_ms.get()), self.close_listeners()).await.is_err() {
            eprintln!(
                "ivygate: aborted the requests still open after {} s",
                self.drain_timeout_ms.get() / 1000.0
            );
        }
        if let Some(orders) = &self.shared.orders {
            orders.close();
        }
    }

    async fn close_listeners(&self) {
        let listeners = self.listeners.take();
        let operator_listener = self.operator_listener.take();
        let mut tasks: Vec<_> = listeners
            .into_iter()
            .map(|listener| {
                tokio::task::spawn_local(async move { listener.clients.shut_down(listener.accepting).await })
            })
            .collect();
        tasks.extend(operator_listener.map(|listener| {
            tokio::task::spawn_local(async move { listener.clients.shut_down(listener.accepting).await })
        }));
        for task in tasks {
            // A panic of a task does not change the shutdown of the others.
            let _ = task.await;
        }
    }
}

/// Size of hyper's buffer per client connection; large enough to relay responses in few chunks.
const READ_BUFFER_BYTES: usize = 64 << 10;

fn client_limits(listener: &Listener) -> ClientLimits {
    ClientLimits {
        max_buffer_bytes: listener.head.max(READ_BUFFER_BYTES),
        strict_head_bytes: Some(listener.head),
        read_stall_timeout: duration_from_millis(listener.read_stall),
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
            let (socket, address) = bind_address(listener.address)?;
            Ok((listener.clone(), socket, address))
        })
        .collect()
}

fn bind_address(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listen_error = |error| StartError::Listen(address, error);
    let socket = listen(address).map_err(listen_error)?;
    let bound = socket.local_addr().map_err(listen_error)?;
    Ok((socket, bound))
}

/// Loads and validates a configuration; warnings go to standard error.
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

/// Serves a configuration file until a signal ends the process.
///
/// `init_events` is called before any event can be logged, possibly more than once, and only if the configuration can
/// cause events, since the subscriber costs memory.
///
/// # Errors
/// Returns an error if it does not start.
pub fn run(path: &Path, init_events: impl Fn() + 'static) -> Result<(), StartError> {
    let load = move |path: &Path| {
        let model = load(path)?;
        if model.pools.iter().any(|pool| pool.domains.is_some()) {
            init_events();
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
        // Registered before anything else, since an unhandled SIGHUP would end the process.
        let hangups = listen_for(SignalKind::hangup())?;
        // Handled and ignored, so that a write beyond the file size limit fails like one to a full disk instead of
        // killing the process.
        let _ = listen_for(SignalKind::from_raw(SIGXFSZ))?;
        let sidecar = Rc::new(Sidecar::start(&model)?);
        for address in sidecar.addresses() {
            eprintln!("ivygate: listening on {address}");
        }
        if let Some(address) = sidecar.operator() {
            eprintln!("ivygate: operator interface at {address}");
        }
        let reloading = tokio::task::spawn_local(reload_on(hangups, sidecar.clone(), path.to_owned(), load));
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        reloading.abort();
        sidecar.shut_down().await;
        // Leaves the system a moment to send the last data.
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
