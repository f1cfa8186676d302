//! Defects of forwarded data: a relay within the node's process, placed in front of the node or of its discovery
//! service.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// One of this many responses is tampered with.
const TAMPERING_INTERVAL: usize = 20;

/// The modification that the relay makes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Tampering {
    /// Some responses are written twice.
    DuplicateResponses,
    /// Some responses are not written.
    DropResponses,
    /// The server list reports every server as ready.
    ReportReady,
}

/// States of servers that are not ready, each with a replacement of the same length that means ready.
const STATE_REPLACEMENTS: [(&[u8], &[u8]); 2] =
    [(b"\"DRAINING\"", b"\"SERVING\" "), (b"\"DELETED\"", b"\"SERVING\"")];

/// Starts the relay in place of the node's listener or of its discovery service, and changes the node's configuration
/// accordingly.
pub fn start(tampering: Tampering) -> io::Result<()> {
    let path = std::env::var("RELAY_CONFIG").map_err(|_| io::Error::other("RELAY_CONFIG is not set"))?;
    let mut config: serde_json::Value = serde_json::from_str(&std::fs::read_to_string(&path)?)?;
    let key = if tampering == Tampering::ReportReady { "discovery" } else { "listen" };
    let configured: SocketAddr = config[key]
        .as_str()
        .and_then(|a| a.parse().ok())
        .ok_or_else(|| io::Error::other("the configuration has no valid address"))?;
    let (listener, target) = if tampering == Tampering::ReportReady {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        config[key] = listener.local_addr()?.to_string().into();
        (listener, configured)
    } else {
        let listener = TcpListener::bind(configured)?;
        let public_address = listener.local_addr()?;
        // The same port on another loopback address is not used by any other process.
        let node_address = SocketAddr::from(([127, 0, 0, 2], public_address.port()));
        config[key] = node_address.to_string().into();
        eprintln!("ivygate-planted: listening on {public_address}");
        (listener, node_address)
    };
    let path = format!("{path}.inner");
    std::fs::write(&path, config.to_string())?;
    std::env::set_var("RELAY_CONFIG", path);
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            thread::spawn(move || relay_connection(client, target, tampering));
        }
    });
    Ok(())
}

fn relay_connection(client: TcpStream, node_address: SocketAddr, tampering: Tampering) -> io::Result<()> {
    let node = TcpStream::connect(node_address)?;
    let _ = (client.set_nodelay(true), node.set_nodelay(true));
    let (mut from_client, mut to_node) = (client.try_clone()?, node.try_clone()?);
    let upload = thread::spawn(move || {
        let _ = io::copy(&mut from_client, &mut to_node);
        let _ = to_node.shutdown(Shutdown::Write);
    });
    let result = relay_responses(&node, &client, tampering);
    let _ = (client.shutdown(Shutdown::Both), node.shutdown(Shutdown::Both));
    let _ = upload.join();
    result
}

fn relay_responses(mut node: &TcpStream, mut client: &TcpStream, tampering: Tampering) -> io::Result<()> {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = node.read(&mut buffer)?;
        if read == 0 {
            return Ok(());
        }
        let is_success = buffer[..read].starts_with(b"HTTP/1.1 200");
        let is_selected =
            is_success && COUNT.fetch_add(1, Ordering::SeqCst) % TAMPERING_INTERVAL == TAMPERING_INTERVAL - 1;
        match tampering {
            Tampering::DropResponses if is_selected => continue,
            Tampering::ReportReady => {
                for (state, ready) in STATE_REPLACEMENTS {
                    for at in 0..read {
                        if buffer[at..read].starts_with(state) {
                            buffer[at..at + ready.len()].copy_from_slice(ready);
                        }
                    }
                }
            }
            Tampering::DuplicateResponses if is_selected => client.write_all(&buffer[..read])?,
            _ => {}
        }
        client.write_all(&buffer[..read])?;
    }
}
