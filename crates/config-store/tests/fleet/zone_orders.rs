//! The lifetime of orders on zones, which carry no version that would show whether they are outdated.

use crate::cluster::{routes, Cluster, Defect};
use ivygate_config_store::{Command, CommandId};
use ivygate_control_state::Table;

const ZONE: &str = "z";
/// Time after which operators give an order up and send it to another store, in milliseconds.
const OPERATOR_TIMEOUT: f64 = 1_000.0;

fn order(drained: bool) -> Command {
    Command::DrainZone { zone: ZONE.to_owned(), drained }
}

fn is_drained(cluster: &Cluster, n: usize) -> bool {
    cluster.items(n).body(Table::Drains, ZONE).is_some()
}

/// Submits an order and waits until it is acknowledged.
fn order_and_wait(cluster: &mut Cluster, n: usize, drained: bool) -> bool {
    let command = cluster.submit(n, order(drained));
    wait_for(cluster, command, OPERATOR_TIMEOUT)
}

fn wait_for(cluster: &mut Cluster, command: CommandId, timeout: f64) -> bool {
    let end = cluster.now + timeout;
    while !cluster.acknowledged(command) && cluster.now < end {
        cluster.advance(5.0);
    }
    cluster.acknowledged(command)
}

/// Guards against an order that waits in a store which stands still, and is carried out after its operator has sent it
/// elsewhere and reverted it (review/6).
#[test]
fn order_that_its_operator_has_given_up_is_not_carried_out() {
    let mut exercised = 0;
    for seed in 0..200 {
        let mut cluster = Cluster::founded(seed, Defect::None);
        cluster.has_regions = true;
        assert!(order_and_wait(&mut cluster, 0, true), "seed {seed}");
        cluster.advance(400.0);
        // An update is being executed, so the store is in contact with a quorum and the order waits for the next round.
        cluster.submit(0, routes(2, &[("a", "/a/", 1.0)]));
        cluster.advance(10.0 + (seed % 20) as f64 * 10.0);
        let given_up = cluster.submit(0, order(false));
        cluster.advance((seed / 20) as f64 * 20.0);
        if cluster.acknowledged(given_up) {
            continue;
        }
        // The store stands still until the operator has sent the order to another store and reverted it there.
        cluster.pause(0, 1_700.0);
        cluster.advance(OPERATOR_TIMEOUT);
        if !order_and_wait(&mut cluster, 2, false) || !order_and_wait(&mut cluster, 2, true) {
            continue;
        }
        exercised += 1;
        cluster.advance(6_000.0);
        assert!(
            (0..6).all(|n| is_drained(&cluster, n)),
            "seed {seed}: the zone's drain was undone without an order"
        );
    }
    assert!(exercised > 50, "the order was sent elsewhere and reverted {exercised} times only");
}

/// Guards against an order that was accepted somewhere but not chosen, and is recovered after a later order, which changed
/// nothing, was acknowledged.
#[test]
fn acknowledged_order_that_changes_nothing_supersedes_earlier_ones() {
    for seed in 0..100 {
        let mut cluster = Cluster::founded(seed, Defect::None);
        assert!(order_and_wait(&mut cluster, 2, true), "seed {seed}");
        cluster.advance(1_000.0);
        // The end of the drain is accepted by its proposer alone, which is then cut off.
        cluster.submit(0, order(false));
        while !cluster.has_accepted(0) && cluster.now < 60_000.0 {
            cluster.advance(1.0);
        }
        cluster.isolate(&[0]);
        if (1..6).any(|n| cluster.has_accepted(n)) || !is_drained(&cluster, 2) {
            continue;
        }
        cluster.advance(OPERATOR_TIMEOUT);
        // The operator changes its mind: the zone shall stay drained.
        assert!(order_and_wait(&mut cluster, 2, true), "seed {seed}");
        cluster.advance(1_000.0);
        cluster.blocked_links.clear();
        cluster.advance(6_000.0);
        assert!(
            (0..6).all(|n| is_drained(&cluster, n)),
            "seed {seed}: an order that was given up came into force"
        );
    }
}

/// An order that is sent again after its answer was lost is acknowledged, at the same store and at another one.
#[test]
fn order_sent_again_after_a_lost_answer_is_acknowledged() {
    for seed in 0..20 {
        let mut cluster = Cluster::founded(seed, Defect::None);
        for (first, again) in [(0, 0), (1, 4)] {
            for drained in [true, false] {
                assert!(order_and_wait(&mut cluster, first, drained), "seed {seed}");
                assert!(order_and_wait(&mut cluster, again, drained), "seed {seed}");
                cluster.advance(500.0);
                assert!((0..6).all(|n| is_drained(&cluster, n) == drained), "seed {seed}");
            }
        }
    }
}
