//! Tests of `orders` that need its private state.

use super::*;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

fn open(name: &str) -> (std::path::PathBuf, Rc<Orders>) {
    let folder = std::env::temp_dir().join(format!("ivygate-taken-{}-{name}", std::process::id()));
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
    (folder, Orders::open(&settings).expect("it opens"))
}

#[test]
fn an_order_given_up_while_its_record_waits_is_told_as_never_sent() {
    let (folder, orders) = open("given-up");
    let mut waited = Vec::new();
    for n in 0..20 {
        let id = RequestId::from(format!("o{n}").as_str());
        let taken = orders.taken(&id, Order { customer: orders.customer("alice"), ..Order::default() });
        let server = SocketAddr::from(([127, 0, 0, 1], 9301));
        {
            let mut sending = pin!(orders.record_send(&id, 0, server, Timestamp::from_millis(1.0)));
            if sending.as_mut().poll(&mut Context::from_waker(Waker::noop())) == Poll::Pending {
                waited.push(id.to_string());
            }
        }
        drop(taken);
    }
    orders.close();
    assert!(!waited.is_empty());
    let store = Store::open(&folder).expect("it opens");
    for id in waited {
        let (_, order) = store.find(&id).expect("read").expect("it is there");
        assert_eq!((order.state(), order.ended), (State::NeverSent, Some(Ended::ClientGone)), "{id}");
        assert!(order.customer.starts_with("hashed:") && !order.customer.contains("alice"));
    }
    let _ = std::fs::remove_dir_all(folder);
}
