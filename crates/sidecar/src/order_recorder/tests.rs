//! Unit tests of `order_recorder`.

use super::*;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn open(name: &str) -> (std::path::PathBuf, Rc<OrderRecorder>) {
    let folder = std::env::temp_dir().join(format!("ivygate-order-recorder-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let (text, synced, keyed) = (folder.display().to_string(), true, false);
    let settings = ivygate_config::Journal {
        folder: text,
        synced,
        keep: 1e9,
        disk: 1 << 30,
        keyed,
        hashed: true,
        id_header: "req-id".into(),
        at: ivygate_config::SourceSpan::default(),
    };
    (folder, OrderRecorder::open(&settings).expect("it opens"))
}

#[test]
fn order_cancelled_while_its_record_is_pending_is_recorded_as_never_sent() {
    let (folder, orders) = open("given-up");
    let mut pending = Vec::new();
    for n in 0..20 {
        let id = RequestId::from(format!("o{n}").as_str());
        let accepted = orders.accept(&id, Order { customer: orders.customer("alice"), ..Order::default() });
        let server = SocketAddr::from(([127, 0, 0, 1], 9301));
        {
            let mut sending = pin!(orders.record_send(&id, 0, server, Timestamp::from_millis(1.0)));
            if sending.as_mut().poll(&mut Context::from_waker(Waker::noop())) == Poll::Pending {
                pending.push(id.to_string());
            }
        }
        drop(accepted);
    }
    orders.close();
    assert!(!pending.is_empty());
    let store = Store::open(&folder).expect("it opens");
    for id in pending {
        let (_, order) = store.find(&id).expect("read").expect("the order exists");
        assert_eq!(
            (order.state(), order.end_reason),
            (State::NeverSent, Some(EndReason::ClientGone)),
            "{id}"
        );
        assert!(order.customer.starts_with("hashed:") && !order.customer.contains("alice"));
    }
    let _ = std::fs::remove_dir_all(folder);
}
