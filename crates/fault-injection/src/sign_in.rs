//! A test sign-in service that accepts all customers except for one in ten, for any request.

use crate::accept::accept;
use crate::http;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// One customer in this many is denied.
const DENIED_INTERVAL: u32 = 10;
/// Response time of the service.
const CHECK_TIME: Duration = Duration::from_millis(3);

/// Returns true if the service denies a customer.
pub fn denied(customer: u32) -> bool {
    customer % DENIED_INTERVAL == DENIED_INTERVAL - 1
}

/// The running service; stops when dropped.
pub struct SignIn {
    pub address: SocketAddr,
    _open: watch::Sender<()>,
}

impl SignIn {
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (open, seen) = watch::channel(());
        accept(listener, seen, |stream, _| drop(tokio::spawn(serve(stream))));
        Ok(Self { address, _open: open })
    }
}

async fn serve(stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Ok(Some(question)) = http::read(&mut stream).await {
        let customer = question.header("cookie").and_then(|cookie| cookie.strip_prefix("customer="));
        let customer = customer.and_then(|customer| u32::from_str_radix(customer, 16).ok());
        tokio::time::sleep(CHECK_TIME).await;
        let answer: &[u8] = match customer {
            Some(customer) if !denied(customer) => b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            _ => b"HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\n",
        };
        if stream.get_mut().write_all(answer).await.is_err() {
            return;
        }
    }
}
