//! What a proxy costs that decides nothing: hyper on both sides, one kept connection behind for each in front.

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

type Kept = Rc<RefCell<Vec<SendRequest<Incoming>>>>;

/// Runs it for good, on one thread.
pub fn run(upstream: SocketAddr) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        eprintln!("listening on {}", listener.local_addr()?);
        let kept = Kept::default();
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let kept = kept.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| pass(request, upstream, kept.clone()));
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

async fn pass(
    request: Request<Incoming>,
    upstream: SocketAddr,
    kept: Kept,
) -> Result<Response<BoxBody<Bytes, hyper::Error>>, Infallible> {
    let failed = || {
        let mut response = Response::new(Empty::new().map_err(|never| match never {}).boxed());
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    };
    let idle = kept.borrow_mut().pop();
    let mut sender = match idle.filter(|sender| !sender.is_closed()) {
        Some(sender) => sender,
        None => match connect(upstream).await {
            Some(sender) => sender,
            None => return Ok(failed()),
        },
    };
    if sender.ready().await.is_err() {
        return Ok(failed());
    }
    let Ok(answer) = sender.send_request(request).await else { return Ok(failed()) };
    kept.borrow_mut().push(sender);
    Ok(answer.map(BodyExt::boxed))
}

async fn connect(upstream: SocketAddr) -> Option<SendRequest<Incoming>> {
    let stream = TcpStream::connect(upstream).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(connection);
    Some(sender)
}
