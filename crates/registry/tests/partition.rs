//! A core machine that is cut off from the other core machines for 20 s, as its registry and a proxy that follows it see
//! that: its store hears no answers, whichever way the cut goes. Times are counted from the cut, and from its end.

use ivygate_cluster::{contact_age_on_receipt_ms, Node, ParentSelector, QuorumContact, Role};
use ivygate_control_state::Items;
use ivygate_registry::{HeartbeatRequest, OperatorRequest, PeerStore, Registry, RequestForwarding};
use ivygate_rpc::ErrorKind;
use ivygate_time::Timestamp;
use std::net::{Ipv4Addr, SocketAddr};

const CUT: f64 = 10_000.0;
const END: f64 = 30_000.0;
/// One that was in touch longer ago gives no shares out and no news on.
const FRESH: f64 = 3_500.0;
const HOLD: f64 = 600.0;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn node(last: u8, role: Role) -> Node {
    let (zone, region) = ("r1".to_owned(), "r".to_owned());
    Node { ip: ip(last), role, zone, region, http: None, ready: true, leaving: false, lost: false }
}

/// When, of all turns of 100 ms, something was so.
#[derive(Default)]
struct Spans(Vec<f64>);

impl Spans {
    fn first(&self) -> f64 {
        self.0.first().copied().unwrap_or(f64::INFINITY)
    }

    fn last(&self) -> f64 {
        self.0.last().copied().unwrap_or(f64::NEG_INFINITY)
    }
}

/// Plays the cut. `deaf` where heartbeats don't arrive either; else only what it sends is lost.
fn play(deaf: bool) {
    let (mut store, mut registry, mut proxy) =
        (QuorumContact::default(), QuorumContact::default(), QuorumContact::default());
    let (mut book, mut items, mut follower) =
        (Registry::new(ip(1)), Items::default(), ParentSelector::default());
    let parents: [SocketAddr; 2] = [(ip(1), 1).into(), (ip(2), 1).into()];
    let nodes = [node(2, Role::Registry), node(3, Role::Registry), node(9, Role::Proxy)];
    nodes.iter().for_each(|node| {
        items.merge(node.to_item(1));
    });
    let (mut pulled, mut followed) = (0.0, 0.0);
    let [mut grants, mut names_none, mut elsewhere] = [Spans::default(), Spans::default(), Spans::default()];
    let mut oldest = 0.0_f64;
    for turn in 0..400 {
        let now = f64::from(turn) * 100.0;
        let cut = (CUT..END).contains(&now);
        // The store asks the others each second.
        if !cut && turn % 10 == 0 {
            store.record(Timestamp::from_millis(now), 40.0);
        }
        // The registry pulls from it, the proxy from the registry or another one, held for 600 ms each.
        if now >= pulled + HOLD {
            registry.record(
                Timestamp::from_millis(now),
                contact_age_on_receipt_ms(
                    Timestamp::from_millis(pulled),
                    Timestamp::from_millis(now),
                    store.age_ms(Timestamp::from_millis(now)),
                    HOLD,
                ),
            );
            pulled = now;
        }
        if now >= followed + HOLD {
            let to = follower.select(Timestamp::from_millis(now), &parents).expect("there are two").address;
            let age = if to == parents[0] { registry.age_ms(Timestamp::from_millis(now)) } else { 900.0 };
            let age = contact_age_on_receipt_ms(
                Timestamp::from_millis(followed),
                Timestamp::from_millis(now),
                age,
                HOLD,
            );
            follower.handle_response(Timestamp::from_millis(now), to, 1, 1, age);
            proxy.record(Timestamp::from_millis(now), age);
            followed = now;
            if to != parents[0] {
                elsewhere.0.push(now);
            }
        }
        oldest = oldest.max(if now > 2_000.0 { proxy.age_ms(Timestamp::from_millis(now)) } else { 0.0 });
        if turn % 6 == 0 && !(cut && deaf) {
            for node in &nodes {
                let (_, beaten) = book.handle_heartbeat(
                    Timestamp::from_millis(now),
                    &items,
                    HeartbeatRequest { entry: node.to_item(1) },
                );
                if beaten.registries.is_empty() && now > 1_000.0 {
                    names_none.0.push(now);
                }
            }
        }
        let lost =
            book.tick(Timestamp::from_millis(now), registry.age_ms(Timestamp::from_millis(now)), &items);
        assert!(lost.is_empty(), "it calls nobody lost: {lost:?} at {now}");
        if registry.age_ms(Timestamp::from_millis(now)) <= FRESH {
            grants.0.push(now);
        }
    }
    let stopped = grants.0.iter().copied().filter(|at| *at < END).fold(0.0, f64::max) - CUT;
    assert!((1_000.0..=FRESH).contains(&stopped), "gives shares out until {stopped} ms after the cut");
    let again = grants.0.iter().copied().find(|at| *at >= END).unwrap_or(f64::INFINITY) - END;
    assert!(again <= 1_000.0 + HOLD, "and from {again} ms after its end");
    // The proxy asks another for news before its own is too old for anything.
    assert!(elsewhere.first() - CUT <= FRESH + 2.0 * HOLD, "asks elsewhere from {}", elsewhere.first() - CUT);
    assert!(elsewhere.last() < END + 16_000.0);
    assert!(oldest < FRESH + 2.0 * HOLD, "its own news is never older than {oldest} ms");
    if !deaf {
        assert!(names_none.first() - CUT <= 2_600.0 && names_none.last() - END <= 1_000.0 + 2.0 * HOLD);
    }
}

#[test]
fn partitioned_core_machine_acts_on_nothing_stale() {
    play(true);
}

#[test]
fn core_machine_that_only_receives_acts_on_nothing_stale() {
    play(false);
}

#[test]
fn partitioned_machine_rejects_operators_at_once() {
    let others = |answered| {
        vec![PeerStore { address: (ip(2), 1).into(), is_same_region: true, last_response_at: Some(answered) }]
    };
    // For two seconds from the cut another may be tried, within the operator's second; from then on the no stands.
    let early = RequestForwarding::new(
        Timestamp::from_millis(CUT + 1_000.0),
        OperatorRequest::Update,
        others(Timestamp::from_millis(CUT - 100.0)),
    );
    let next = early.clone().next_target(Timestamp::from_millis(CUT + 1_300.0), ErrorKind::NoQuorum);
    assert!(next.is_some_and(|next| next.wait_ms <= 600.0));
    let late = RequestForwarding::new(
        Timestamp::from_millis(CUT + 3_000.0),
        OperatorRequest::Update,
        others(Timestamp::from_millis(CUT - 100.0)),
    );
    assert_eq!(late.clone().next_target(Timestamp::from_millis(CUT + 3_300.0), ErrorKind::NoQuorum), None);
    assert_eq!(
        early.clone().next_target(Timestamp::from_millis(CUT + 1_300.0), ErrorKind::Timeout),
        None,
        "what may have been taken is not asked again"
    );
}
