//! The stand-in application: answers at once, 64 bytes or as many as the path's number says.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Runs it for good, on one thread.
pub fn run() -> io::Result<()> {
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
                let service = service_fn(|request| answer(request, &bodies));
                // A client that leaves ends its connection only.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

async fn answer(
    request: Request<Incoming>,
    bodies: &[Bytes; 2],
) -> Result<Response<Full<Bytes>>, Infallible> {
    let large = request.uri().path().ends_with("/large");
    let mut body = request.into_body();
    while let Some(Ok(_)) = body.frame().await {}
    Ok(Response::new(Full::new(bodies[usize::from(large)].clone())))
}
