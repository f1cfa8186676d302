//! Cost of the journal: orders with it off, `written` and `synced`; its sync rate against that of the disk; recovery.

use crate::process::Process;
use crate::turns;
use ivygate_journal::{Attempt, AttemptOutcome, DurabilityLevel, Journal, Order, Retention, Store, Update};
use redb::backends::FileBackend;
use redb::StorageBackend;
use std::fs::{File, OpenOptions};
use std::future::Future;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Numbers of orders in flight.
const IN_FLIGHT: [usize; 3] = [1, 16, 256];
/// Retention limits that no run reaches.
const RETENTION: Retention = Retention { max_age_ms: 1e12, max_file_bytes: 1 << 40 };

/// Runs the benchmark and prints tables; the journals are created below `folder`, on the disk under test.
pub fn measure(turns: usize, seconds: f64, orders: u32, folder: &Path) -> io::Result<()> {
    let folder = folder.join(format!("ivygate-bench-journal-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let result = measure_sidecar(turns, &folder)
        .and_then(|()| measure_journal(seconds, &folder))
        .and_then(|()| measure_recovery(orders, &folder));
    std::fs::remove_dir_all(&folder)?;
    result
}

/// Measures orders and reads through a sidecar at each journal level.
fn measure_sidecar(turns: usize, folder: &Path) -> io::Result<()> {
    let application = Process::benchmark_command(&["application"])?;
    let start = |journal: String| {
        Process::sidecar(&format!(
            "limits {{ descriptors 4096; }}
listen 127.0.0.1:0 {{ connections 1500; }}
{journal}
class read {{ effect safe; aim 500ms; deadline 5s; }}
class order {{ effect unsafe; aim 500ms; deadline 5s; }}
pool app {{ requests 512; connections 512; server a {}; }}
route reads {{ path prefix /app; class read; pool app; }}
route orders {{ path exact /orders; methods POST; class order; pool app; }}
",
            application.address
        ))
    };
    let journal = |level: &str| {
        let folder = folder.join(level);
        start(format!("journal {{ folder {}; level {level}; disk 100GiB; }}", folder.display()))
    };
    let (off, written, synced) = (start(String::new())?, journal("written")?, journal("synced")?);
    let order = "POST /orders HTTP/1.1\r\nHost: bench\r\nContent-Length: 4\r\n\r\npaid";
    let read = "GET /app HTTP/1.1\r\nHost: bench\r\n\r\n";
    let workloads = [
        ("orders, off", &off, order),
        ("orders, written", &written, order),
        ("orders, synced", &synced, order),
        ("reads, off", &off, read),
        ("reads, synced", &synced, read),
    ];
    println!("Through the sidecar.");
    turns::measure(&workloads, &IN_FLIGHT, turns)
}

/// A storage backend that counts syncs and written bytes.
#[derive(Debug)]
struct CountingBackend {
    file: FileBackend,
    syncs: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl StorageBackend for CountingBackend {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.file.read(offset, len)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.file.set_len(len)
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.syncs.fetch_add(1, Ordering::Relaxed);
        self.file.sync_data(eventual)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
        self.file.write(offset, data)
    }
}

/// Returns the syncs per second of the disk, each after writing `pages` pages at random offsets within 64 MiB.
fn disk_syncs_per_s(file: &File, pages: u64, seconds: f64) -> io::Result<f64> {
    let (mut syncs, start) = (0_u32, Instant::now());
    while start.elapsed().as_secs_f64() < seconds {
        for _ in 0..pages {
            file.write_all_at(&[syncs as u8; 4096], fastrand::u64(0..16384) * 4096)?;
        }
        file.sync_data()?;
        syncs += 1;
    }
    Ok(f64::from(syncs) / start.elapsed().as_secs_f64())
}

fn open_file(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)
}

fn unanswered_attempt() -> Attempt {
    Attempt {
        number: 0,
        server: ([127, 0, 0, 1], 9301).into(),
        sent_at: 1.8e12,
        outcome: AttemptOutcome::Unknown,
    }
}

/// Returns the journal id of an order and the update that records it.
fn order(number: u64) -> (String, Update) {
    let order = Order {
        client_id: Some(format!("order-{number}")),
        customer: "lodge-17".into(),
        route: "orders".into(),
        target: "/orders".into(),
        accepted_at: 1.8e12 + number as f64,
        attempts: vec![unanswered_attempt()],
        ..Order::default()
    };
    (format!("{number:016x}-{:016x}", 7), Update::Accepted(order))
}

/// Measures the journal without a sidecar, for each number of orders in flight.
fn measure_journal(seconds: f64, folder: &Path) -> io::Result<()> {
    let path = folder.join("syncs");
    let file = open_file(&path)?;
    let disk_rate = disk_syncs_per_s(&file, 1, seconds)?;
    println!(
        "\nThe journal alone, `synced`. The disk itself reaches {disk_rate:.0} syncs of one page per second."
    );
    println!(
        "{:>9} {:>9} {:>12} {:>12} {:>9} {:>12} {:>12}",
        "in flight", "orders/s", "syncs/order", "orders/sync", "KiB/sync", "of the disk", "with as much"
    );
    for in_flight in IN_FLIGHT {
        let (counter, bytes) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let file = FileBackend::new(open_file(&path)?).map_err(io::Error::other)?;
        let backend = CountingBackend { file, syncs: counter.clone(), bytes: bytes.clone() };
        let store = Store::with_backend(path.clone(), backend, RETENTION).map_err(io::Error::other)?;
        let journal = Journal::start(Arc::new(store))?;
        let before = [&counter, &bytes].map(|count| count.load(Ordering::Relaxed));
        let (start, next) = (Instant::now(), std::cell::Cell::new(0));
        let end = start + Duration::from_secs_f64(seconds);
        let runtime = tokio::runtime::Builder::new_current_thread().build()?;
        let client = || async {
            while Instant::now() < end {
                let (id, update) = order(next.replace(next.get() + 1));
                if journal.record(&id, update).await.is_err() {
                    return false;
                }
                // The result is noted without waiting, as in the sidecar.
                let _ = journal.enqueue(&id, Update::AttemptEnded(0, AttemptOutcome::Answer(200)));
            }
            true
        };
        let mut clients: Vec<_> = (0..in_flight).map(|_| Box::pin(client())).collect();
        let mut all_recorded = true;
        runtime.block_on(std::future::poll_fn(|cx| {
            clients.retain_mut(|one| match one.as_mut().poll(cx) {
                Poll::Ready(recorded) => {
                    all_recorded &= recorded;
                    false
                }
                Poll::Pending => true,
            });
            if clients.is_empty() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        }));
        if !all_recorded {
            return Err(io::Error::other("the journal failed to record an order"));
        }
        let (count, elapsed) = (next.get() as f64, start.elapsed().as_secs_f64());
        let [syncs, bytes] =
            [0, 1].map(|n| ([&counter, &bytes][n].load(Ordering::Relaxed) - before[n]) as f64);
        let pages = (bytes / syncs / 4096.0).round().max(1.0);
        let same_size_rate = disk_syncs_per_s(&open_file(&folder.join("as-much"))?, pages as u64, seconds)?;
        println!(
            "{in_flight:>9} {:>9.0} {:>12.3} {:>12.1} {:>9.0} {:>12.2} {:>12.2}",
            count / elapsed,
            syncs / count,
            count / syncs,
            bytes / syncs / 1024.0,
            syncs / elapsed / disk_rate,
            syncs / elapsed / same_size_rate
        );
    }
    Ok(())
}

/// Measures opening a journal with one unknown order in a thousand: after a clean close and after a crash.
fn measure_recovery(orders: u32, folder: &Path) -> io::Result<()> {
    let (closed, crashed) = (folder.join("closed"), folder.join("crashed"));
    let store = Store::create(&closed, DurabilityLevel::Written, RETENTION).map_err(io::Error::other)?;
    let numbers: Vec<u64> = (0..u64::from(orders)).collect();
    let start = Instant::now();
    for part in numbers.chunks(1024) {
        let mut updates: Vec<_> = part.iter().map(|number| order(*number)).collect();
        let answered = part.iter().filter(|number| *number % 1000 != 0);
        updates.extend(
            answered.map(|number| (order(*number).0, Update::AttemptEnded(0, AttemptOutcome::Answer(200)))),
        );
        store.record(&updates).map_err(io::Error::other)?;
    }
    let elapsed = start.elapsed().as_secs_f64();
    std::fs::create_dir_all(&crashed)?;
    // Copies the file while the store is open: its state on disk if the process died now.
    std::fs::copy(closed.join("orders.redb"), crashed.join("orders.redb"))?;
    let size = std::fs::metadata(crashed.join("orders.redb"))?.len() >> 20;
    drop(store);
    println!("\nRecovery of {orders} orders, recorded in {elapsed:.1} s, {size} MiB.");
    println!("{:>18} {:>9} {:>11} {:>8}", "", "open ms", "unknown ms", "MiB");
    for (name, folder) in [("clean close", &closed), ("after a crash", &crashed)] {
        let output =
            std::process::Command::new(std::env::current_exe()?).arg("open-journal").arg(folder).output()?;
        if !output.status.success() {
            return Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()));
        }
        println!("{name:>18} {}", String::from_utf8_lossy(&output.stdout).trim_end());
    }
    Ok(())
}

/// Opens a journal and prints the time to open it, the time to find the unknown orders, and the peak memory.
/// Run in a process of its own.
pub fn open(folder: &Path) -> io::Result<()> {
    let start = Instant::now();
    let store = Store::open(folder).map_err(io::Error::other)?;
    let opened = start.elapsed();
    let mut unknown = 0_u32;
    store
        .for_each(|(_, order)| unknown += u32::from(order.state() == ivygate_journal::State::Unknown))
        .map_err(io::Error::other)?;
    let scanned = start.elapsed() - opened;
    let status = std::fs::read_to_string("/proc/self/status")?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or("");
    let peak = peak.trim().trim_end_matches(" kB").parse::<f64>().unwrap_or(0.0) / 1024.0;
    println!("{:>9.0} {:>11.0} {peak:>8.0}   ({unknown} unknown)", ms(opened), ms(scanned));
    Ok(())
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
