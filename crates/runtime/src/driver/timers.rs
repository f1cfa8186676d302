//! Timers of requests, attempts and the gateway, and the detection of pauses of the process.

use super::{Driver, FinalResponse, State};
use ivygate_gateway::{Event, Load, Outcome, RequestId};
use ivygate_time::Timestamp;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep_until;

/// Interval at which expired idle connections are closed.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// A process whose sweep is overdue by this was paused. The longest pause that stays undetected, plus one
/// interval, is shorter than the grace period of a drain.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);
/// Time after a pause during which no request is sent: unread input may say that a server is draining.
const RESUME_DELAY: Duration = Duration::from_millis(20);

/// Sorts timers by time in microseconds of Unix time; the second number makes each key unique.
pub(super) type TimerKey = (u64, u64);

pub(super) enum Timer {
    /// A timer of the gateway, with its token.
    Gateway(u64),
    /// The time of an attempt is up.
    AttemptTimeout(RequestId, u32),
    /// The deadline of a request is near.
    Deadline(RequestId),
    /// Expired idle connections are to be closed.
    Sweep,
}

impl Driver {
    /// Runs the timers, until the driver is retired and has no open request.
    pub async fn run_timers(self: Rc<Self>) {
        while !self.is_retired.get() || self.open_requests() > 0 {
            let first = self.state.borrow().timers.keys().next().copied();
            match first {
                Some((at, _)) => {
                    tokio::select! {
                        () = sleep_until(self.clock.instant(Timestamp::from_micros(at))) => self.fire_timers(),
                        () = self.first_timer_changed.notified() => {}
                    }
                }
                None => self.first_timer_changed.notified().await,
            }
        }
    }

    /// Detects whether the process was paused, and if so delays requests until it has read its input.
    pub(super) fn detect_pause(&self, now: Timestamp) {
        if now > self.sweep_due.get() + PAUSE_THRESHOLD {
            self.sweep_due.set(now + SWEEP_INTERVAL);
            self.paused_until.set(now + RESUME_DELAY);
        }
    }

    /// Waits, if the process was paused, until it has read its input.
    pub(super) async fn wait_for_resume(&self) {
        let now = self.clock.now();
        self.detect_pause(now);
        if now < self.paused_until.get() {
            sleep_until(self.clock.instant(self.paused_until.get())).await;
        }
    }

    fn fire_timers(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        self.detect_pause(now);
        let now = now.whole_micros();
        // Only timers that are due now: one that is set meanwhile for a past time fires in the next round.
        let later = state.timers.split_off(&(now + 1, 0));
        for (_, timer) in std::mem::replace(&mut state.timers, later) {
            match timer {
                Timer::Gateway(token) => state.events.push_back(Event::Timer { token }),
                Timer::AttemptTimeout(id, number) => {
                    self.give_up(&mut state, &id, number, Outcome::Timeout, self.clock.now());
                }
                Timer::Deadline(id) => {
                    // The client gets a response in time even if the gateway still waits for something.
                    if state.respond(&id, FinalResponse::TimedOut) {
                        self.abandon(&mut state, &id);
                    }
                }
                Timer::Sweep => {
                    self.upstream.close_expired();
                    for server in self.upstream.take_failed_streams() {
                        let (outcome, load) = (Outcome::Reset, Load::default());
                        state.events.push_back(Event::HealthChecked { server, outcome, load });
                    }
                    let due = self.clock.now() + SWEEP_INTERVAL;
                    self.sweep_due.set(due);
                    self.set_timer(&mut state, due, Timer::Sweep);
                }
            }
            self.process_events(&mut state);
        }
    }

    pub(super) fn set_timer(&self, state: &mut State, at: Timestamp, timer: Timer) -> TimerKey {
        state.last_timer += 1;
        let key = (at.whole_micros(), state.last_timer);
        state.timers.insert(key, timer);
        if state.timers.keys().next() == Some(&key) {
            self.first_timer_changed.notify_one();
        }
        key
    }
}
