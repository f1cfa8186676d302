//! Cost of a sign-in check: the same requests without a check, with a cached acceptance, and with a check each.

use crate::process::Process;
use crate::turns;
use std::io;

/// Runs the benchmark and prints a table.
pub fn measure(turns: usize) -> io::Result<()> {
    let application = Process::benchmark_command(&["application"])?;
    let service = Process::benchmark_command(&["application"])?;
    let pass_through = Process::benchmark_command(&["pass-through", &application.address.to_string()])?;
    let config = format!(
        "limits {{ descriptors 4096; }}
listen 127.0.0.1:0 {{ connections 1500; }}
class read {{ effect safe; aim 500ms; deadline 5s; }}
pool app {{ requests 512; connections 512; server a {}; }}
pool accounts {{ requests 512; connections 512; server a {}; }}
sign-in each {{ pool accounts; path /app; }}
sign-in kept {{ pool accounts; path /app; cache-yes 1m; }}
route none {{ path prefix /app/none; class read; pool app; }}
route kept {{ path prefix /app/kept; sign-in kept; class read; pool app; }}
route each {{ path prefix /app/each; sign-in each; class read; pool app; }}
",
        application.address, service.address
    );
    let sidecar = Process::sidecar(&config)?;
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n");
    let [app, unchecked, cached, checked] = ["/app", "/app/none", "/app/kept", "/app/each"].map(get);
    let workloads: [turns::Workload; 4] = [
        ("pass-through", &pass_through, &app),
        ("unchecked", &sidecar, &unchecked),
        ("remembered", &sidecar, &cached),
        ("asked", &sidecar, &checked),
    ];
    turns::measure(&workloads, &[1, 16], turns)
}
