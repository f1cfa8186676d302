//! The stand-in application and sign-in service: answers 64 bytes or 1 MiB, and 401 to passes that begin with "bad".

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{header, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Runs it for good, on one thread; each request takes so much time, one after the other.
pub fn run(work: Duration) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        eprintln!("listening on {}", listener.local_addr()?);
        let bodies = [64, 1 << 20].map(|size| Bytes::from(vec![b'x'; size]));
        loop {
            let (stream, _) = listener.accept().await?;
            stream.set_nodelay(true)?;
            let bodies = bodies.clone();
            tokio::task::spawn_local(async move {
                let service = service_fn(|request| answer(request, &bodies, work));
                // A client that leaves ends its connection only.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

async fn answer(
    request: Request<Incoming>,
    bodies: &[Bytes; 2],
    work: Duration,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let large = request.uri().path().ends_with("/large");
    let pass = request.headers().get(header::AUTHORIZATION);
    let bad = pass.is_some_and(|pass| pass.as_bytes().starts_with(b"bad"));
    let mut body = request.into_body();
    while let Some(Ok(_)) = body.frame().await {}
    if !work.is_zero() {
        // Holds the only thread: who comes meanwhile waits.
        std::thread::sleep(work);
    }
    let mut response = Response::new(Full::new(bodies[usize::from(large)].clone()));
    if bad {
        *response.status_mut() = StatusCode::UNAUTHORIZED;
    }
    Ok(response)
}
