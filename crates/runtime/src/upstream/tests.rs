//! Unit tests of `upstream`.

use super::*;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

#[test]
fn idle_connections_to_one_server_are_limited() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let limits = UpstreamLimits {
            max_connections: 100,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            max_idle_per_server: 4,
            min_idle_time: DEFAULT_MIN_IDLE_TIME,
            max_buffer_bytes: DEFAULT_BUFFER_BYTES,
        };
        let upstream = Upstream::new(limits, ResponsePolicy::Platform);
        for _ in 0..10 {
            let connection = upstream
                .connect(address)
                .await
                .unwrap_or_else(|_| panic!("the listener accepts connections"));
            upstream.add_idle(7, connection);
        }
        assert_eq!(upstream.idle.borrow()[&7].len(), 4);
        // The others are closed and no longer count as open.
        assert_eq!(upstream.open_connections.get(), 4);
    });
}
