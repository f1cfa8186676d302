//! A proxy that only forwards, as a baseline for the sidecar: hyper on both sides, upstream connections are reused.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

type IdleConnections = Rc<RefCell<Vec<SendRequest<Incoming>>>>;

/// Forwards requests on one thread until the process is killed.
pub fn run(upstream: SocketAddr) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        eprintln!("listening on {}", listener.local_addr()?);
        let idle = IdleConnections::default();
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let idle = idle.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| forward(request, upstream, idle.clone()));
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

async fn forward(
    request: Request<Incoming>,
    upstream: SocketAddr,
    idle: IdleConnections,
) -> Result<Response<BoxBody<Bytes, hyper::Error>>, Infallible> {
    let bad_gateway = || {
        let mut response = Response::new(Empty::new().map_err(|never| match never {}).boxed());
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    };
    let reused = idle.borrow_mut().pop();
    let mut sender = match reused.filter(|sender| !sender.is_closed()) {
        Some(sender) => sender,
        None => match connect(upstream).await {
            Some(sender) => sender,
            None => return Ok(bad_gateway()),
        },
    };
    if sender.ready().await.is_err() {
        return Ok(bad_gateway());
    }
    let Ok(response) = sender.send_request(request).await else { return Ok(bad_gateway()) };
    idle.borrow_mut().push(sender);
    Ok(response.map(BodyExt::boxed))
}

async fn connect(upstream: SocketAddr) -> Option<SendRequest<Incoming>> {
    let stream = TcpStream::connect(upstream).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}
