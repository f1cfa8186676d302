//! What a sign-in check costs: the same requests unchecked, by a remembered yes, and each asked about.

use crate::process::Process;
use crate::turns;
use std::io;

/// Measures and prints.
pub fn measure(turns: usize) -> io::Result<()> {
    let application = Process::own(&["application"])?;
    let service = Process::own(&["application"])?;
    let pass_through = Process::own(&["pass-through", &application.address.to_string()])?;
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
    let [app, none, kept, each] = ["/app", "/app/none", "/app/kept", "/app/each"].map(get);
    let kinds: [turns::Kind; 4] = [
        ("pass-through", &pass_through, &app),
        ("unchecked", &sidecar, &none),
        ("remembered", &sidecar, &kept),
        ("asked", &sidecar, &each),
    ];
    turns::measure(&kinds, &[1, 16], turns)
}
