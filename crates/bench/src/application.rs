//! The test application and sign-in service: responds with 64 bytes or 1 MiB, and with status 401 to credentials
//! that begin with "bad".

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

/// Serves requests on one thread until the process is killed; each request blocks the thread for `work`.
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
                let service = service_fn(|request| respond(request, &bodies, work));
                // An error of one connection does not affect the others.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

async fn respond(
    request: Request<Incoming>,
    bodies: &[Bytes; 2],
    work: Duration,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let large = request.uri().path().ends_with("/large");
    let credential = request.headers().get(header::AUTHORIZATION);
    let rejected = credential.is_some_and(|credential| credential.as_bytes().starts_with(b"bad"));
    let mut body = request.into_body();
    while let Some(Ok(_)) = body.frame().await {}
    if !work.is_zero() {
        // Blocks the only thread, so that requests are processed one at a time.
        std::thread::sleep(work);
    }
    let mut response = Response::new(Full::new(bodies[usize::from(large)].clone()));
    if rejected {
        *response.status_mut() = StatusCode::UNAUTHORIZED;
    }
    Ok(response)
}
