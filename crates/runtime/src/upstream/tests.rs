//! Tests of `upstream` that need its private state.

use super::*;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

#[test]
fn given_many_requests_on_new_connections_when_they_end_then_few_idle_ones_are_kept_to_a_server() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("it has one");
        let limits = UpstreamLimits {
            max_connections: 100,
            connect_timeout: CONNECT_UNTOLD,
            idle_timeout: KEEP_UNTOLD,
            max_idle_per_server: 4,
            min_idle_time: REST,
            max_buffer_bytes: HEAD_MOST,
        };
        let upstream = Upstream::new(limits, ResponsePolicy::Platform);
        for _ in 0..10 {
            let link = upstream.connect(address).await.unwrap_or_else(|_| panic!("it listens"));
            upstream.put_back(7, link);
        }
        assert_eq!(upstream.idle.borrow()[&7].len(), 4);
        // The others are closed: they count no more towards what may be open.
        assert_eq!(upstream.open.get(), 4);
    });
}
