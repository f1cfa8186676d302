//! Defects of what passes: a relay in the node's own process, before it or before its discovery.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Every so many answers one is tampered with.
const EVERY: usize = 20;

/// What is done to what passes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Tampering {
    /// Some answers are written twice.
    Twice,
    /// Some are not written.
    Lost,
    /// The list calls every server ready.
    Ready,
}

/// What a list says of a server that is not ready, and as many bytes that say it is.
const STATES: [(&[u8], &[u8]); 2] = [(b"\"DRAINING\"", b"\"SERVING\" "), (b"\"DELETED\"", b"\"SERVING\"")];

/// Listens where the node was to, or where discovery is for it, and sends the node elsewhere.
pub fn between(tampering: Tampering) -> io::Result<()> {
    let path = std::env::var("RELAY_CONFIG").map_err(|_| io::Error::other("RELAY_CONFIG is not set"))?;
    let mut config: serde_json::Value = serde_json::from_str(&std::fs::read_to_string(&path)?)?;
    let key = if tampering == Tampering::Ready { "discovery" } else { "listen" };
    let told: SocketAddr =
        config[key].as_str().and_then(|a| a.parse().ok()).ok_or_else(|| io::Error::other("no address"))?;
    let (listener, target) = if tampering == Tampering::Ready {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        config[key] = listener.local_addr()?.to_string().into();
        (listener, told)
    } else {
        let listener = TcpListener::bind(told)?;
        let outer = listener.local_addr()?;
        // The same port on another of this machine's own addresses: nobody else has it.
        let inner = SocketAddr::from(([127, 0, 0, 2], outer.port()));
        config[key] = inner.to_string().into();
        eprintln!("ivygate-planted: listening on {outer}");
        (listener, inner)
    };
    let path = format!("{path}.inner");
    std::fs::write(&path, config.to_string())?;
    std::env::set_var("RELAY_CONFIG", path);
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            thread::spawn(move || pass(client, target, tampering));
        }
    });
    Ok(())
}

fn pass(client: TcpStream, inner: SocketAddr, tampering: Tampering) -> io::Result<()> {
    let node = TcpStream::connect(inner)?;
    let _ = (client.set_nodelay(true), node.set_nodelay(true));
    let (mut from_client, mut to_node) = (client.try_clone()?, node.try_clone()?);
    let there = thread::spawn(move || {
        let _ = io::copy(&mut from_client, &mut to_node);
        let _ = to_node.shutdown(Shutdown::Write);
    });
    let back = answers(&node, &client, tampering);
    let _ = (client.shutdown(Shutdown::Both), node.shutdown(Shutdown::Both));
    let _ = there.join();
    back
}

fn answers(mut node: &TcpStream, mut client: &TcpStream, tampering: Tampering) -> io::Result<()> {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = node.read(&mut buffer)?;
        if read == 0 {
            return Ok(());
        }
        let served = buffer[..read].starts_with(b"HTTP/1.1 200");
        let chosen = served && COUNT.fetch_add(1, Ordering::SeqCst) % EVERY == EVERY - 1;
        match tampering {
            Tampering::Lost if chosen => continue,
            Tampering::Ready => {
                for (state, ready) in STATES {
                    for at in 0..read {
                        if buffer[at..read].starts_with(state) {
                            buffer[at..at + ready.len()].copy_from_slice(ready);
                        }
                    }
                }
            }
            Tampering::Twice if chosen => client.write_all(&buffer[..read])?,
            _ => {}
        }
        client.write_all(&buffer[..read])?;
    }
}
