//! A send guard is asked just before the first byte of each attempt.

mod stub;

use ivygate_runtime::SendGuard;
use ivygate_test_servers::ScriptedServer;
use std::cell::Cell;
use std::rc::Rc;
use stub::{driver, send, serve, status_and_id, Runs};

#[derive(Default)]
struct Guard {
    may_send: Cell<bool>,
}

impl SendGuard for Guard {
    fn may_send(&self) -> bool {
        self.may_send.get()
    }
}

#[test]
fn attempt_admitted_before_the_guard_forbids_it_is_withdrawn() {
    let runs = Runs::default();
    let ran = runs.clone();
    let server = ScriptedServer::start(move |stream, _| serve(stream, &ran));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let driver = driver(server.address);
        let guard = Rc::new(Guard::default());
        driver.set_send_guard(guard.clone());
        let (status, _) = status_and_id(&send(&driver, "once", "a").await);
        assert_eq!((status, runs.count("a")), (503, 0), "refused, since it has not run");
        guard.may_send.set(true);
        let (status, _) = status_and_id(&send(&driver, "once", "b").await);
        assert_eq!((status, runs.count("b")), (200, 1));
    });
}
