//! Drives one gateway from a made-up list of events, as an operator's own gateway would.

use ivygate_gateway::*;
use std::sync::Arc;

fn main() -> Result<(), SettingsError> {
    let settings = Settings {
        gateways: 1,
        rank: 0,
        zone: "east".into(),
        classes: vec![Class {
            name: "read".into(),
            aim: 500.0,
            deadline: 2_000.0,
            worth: 1.0,
            late_worth: 0.0,
            effect: Effect::Safe,
            first_work: None,
            key_window: 0.0,
        }],
        plans: vec![Plan {
            name: "basic".into(),
            rate: 2.0,
            burst: 4.0,
            open: 0,
            price: 1.0,
            extra_worth: 0.0,
            excess_cost: 0.5,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
            ceiling_slack: 0.0,
        }],
        max_attempts: 3,
        hedging: false,
        probing: false,
        trial: false,
        retries: Retries::USUAL,
        cancelling: true,
        list_on_request: false,
        max_retry_after: Some(1_000.0),
        meter_period: Some(1_000.0),
        cross_zone_price: 0.0,
        cold_from: 0.2,
        warm_after: 10_000.0,
        fall_multiple: 2.0,
        fall_window: 1_000.0,
    };
    let mut gateway = Gateway::new(settings, 42)?;
    let mut actions = Vec::new();
    let member = |server| Member {
        server,
        zone: "east".into(),
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started: None,
        detour: 0.0,
        fence: None,
    };
    gateway.handle(
        0.0,
        Event::List { kind: ListKind::Full, members: Arc::from([member(1), member(2)]) },
        &mut actions,
    );
    // One customer asks every 100 ms, five times its rate: the burst passes, then about two a second.
    for i in 0..30_u32 {
        let now = f64::from(i) * 100.0;
        let request: RequestId = format!("r{i}").into();
        let arrival = Arrival {
            request: request.clone(),
            class: "read".into(),
            plan: "basic".into(),
            customer: "acme".into(),
            deadline: now + 2_000.0,
            units: 1.0,
            width: 1,
            zones: None,
            tries: None,
        };
        actions.clear();
        gateway.handle(now, Event::Arrival(arrival), &mut actions);
        for action in std::mem::take(&mut actions) {
            println!("{now:6.0} ms  {action:?}");
            // A real gateway would send the attempt; here it is answered after 20 ms.
            if let Action::Send { server, .. } = action {
                let done = Done {
                    request: request.clone(),
                    attempt: 0,
                    server,
                    outcome: Outcome::Ok,
                    elapsed: 20.0,
                    closed: true,
                    use_percent: None,
                    load: Load::default(),
                };
                gateway.handle(now + 20.0, Event::Done(done), &mut actions);
            }
        }
    }
    Ok(())
}
