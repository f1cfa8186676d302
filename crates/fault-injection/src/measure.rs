//! Measures the overhead of a link: added latency, CPU time, and its behaviour with many connections.

use crate::accept::accept;
use crate::process_stat::cpu_seconds;
use crate::relay::Link;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of a message in bytes, about that of a request of the load generator.
const MESSAGE_BYTES: usize = 400;

/// Result of the measurement.
#[derive(Clone, Debug)]
pub struct LinkMeasurement {
    /// Number of round trips, one after the other.
    pub messages: usize,
    /// Median and 99th percentile of the round-trip time without a link, in microseconds.
    pub direct: [f64; 2],
    /// Median and 99th percentile of the round-trip time through a link, in microseconds.
    pub linked: [f64; 2],
    /// CPU time of the whole process per round trip in microseconds, without a link and through one.
    pub cpu: [f64; 2],
    /// Number of connections open at once through one link, each with one round trip.
    pub connections: usize,
    /// Time to open them and complete their round trips.
    pub took: Duration,
}

impl fmt::Display for LinkMeasurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} messages of {MESSAGE_BYTES} bytes there and back, one after the other:",
            self.messages
        )?;
        for (name, [half, most], cpu) in
            [("direct", self.direct, self.cpu[0]), ("linked", self.linked, self.cpu[1])]
        {
            write!(f, "  {name}   half within {half:.0} us, 99 in 100 within {most:.0} us, ")?;
            writeln!(f, "{cpu:.1} us of processor each")?;
        }
        write!(
            f,
            "{} connections open at once through one link, a message there and back on each: {:.2} s",
            self.connections,
            self.took.as_secs_f64()
        )
    }
}

/// Measures a link to an echo server in this process.
///
/// # Errors
/// If connections cannot be opened: each needs four file descriptors of this process.
pub fn measure_link(connections: usize, messages: usize) -> io::Result<LinkMeasurement> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = listener.local_addr()?;
        let (_open, state) = watch::channel(());
        accept(listener, state, |stream, _| drop(tokio::spawn(echo(stream))));
        let link = Link::open(target, |_| {}).await?;
        let (direct, direct_cpu) = measure_round_trips(target, messages).await?;
        let (linked, linked_cpu) = measure_round_trips(link.address, messages).await?;
        let started_at = Instant::now();
        let mut open = Vec::new();
        for _ in 0..connections {
            open.push(TcpStream::connect(link.address).await?);
        }
        for stream in &mut open {
            round_trip(stream).await?;
        }
        let (took, cpu) = (started_at.elapsed(), [direct_cpu, linked_cpu]);
        Ok(LinkMeasurement { messages, direct, linked, cpu, connections, took })
    })
}

async fn echo(mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = [0; MESSAGE_BYTES];
    while stream.read_exact(&mut buffer).await.is_ok() {
        if stream.write_all(&buffer).await.is_err() {
            return;
        }
    }
}

async fn round_trip(stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = [7; MESSAGE_BYTES];
    stream.write_all(&buffer).await?;
    stream.read_exact(&mut buffer).await.map(drop)
}

/// Returns the median and 99th percentile of the round-trip time, and the CPU time per round trip, in microseconds.
async fn measure_round_trips(address: SocketAddr, messages: usize) -> io::Result<([f64; 2], f64)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    round_trip(&mut stream).await?;
    let before = cpu_seconds("self");
    let mut times = Vec::with_capacity(messages);
    for _ in 0..messages.max(1) {
        let started_at = Instant::now();
        round_trip(&mut stream).await?;
        times.push(started_at.elapsed().as_secs_f64() * 1e6);
    }
    let cpu = (cpu_seconds("self") - before) * 1e6 / times.len() as f64;
    times.sort_by(f64::total_cmp);
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
    Ok(([at(0.5), at(0.99)], cpu))
}
