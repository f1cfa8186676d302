//! Attempts of requests at app servers, from the decision to send one to its result.

use super::timers::{Timer, TimerKey};
use super::{Driver, FinalResponse, State};
use crate::server_list::ListedServerState;
use crate::upstream::{AttemptEnd, AttemptProgress};
use ivygate_gateway::{AttemptResult, Event, Outcome, RequestId, ServerId};
use ivygate_time::{Millis, Timestamp};
use std::cell::Cell;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// An attempt of a request.
pub(super) struct Attempt {
    pub server: ServerId,
    pub sent_at: Timestamp,
    pub progress: Rc<AttemptProgress>,
    pub task: AbortHandle,
    pub timer: TimerKey,
    pub is_ended: bool,
}

impl Driver {
    pub(super) fn send(
        self: &Rc<Self>,
        state: &mut State,
        id: RequestId,
        server: ServerId,
        give_up_at: Timestamp,
        now: Timestamp,
    ) {
        let State { requests, servers, last_timer, timers, .. } = state;
        let Some(open) = requests.get_mut(&id) else { return };
        let number = open.attempts.len() as u32;
        let give_up_at =
            if give_up_at.as_millis() > 0.0 { give_up_at.min(open.deadline) } else { open.deadline };
        // A streamed body cannot be sent again, so it is no use to give up in time for another attempt.
        let give_up_at = if open.outgoing.body.is_streamed() { open.deadline } else { give_up_at };
        open.fallback = None;
        let sent_before = open.attempts.iter().any(|attempt| attempt.server == server);
        let progress = Rc::new(AttemptProgress::default());
        let known = servers.get(&server).map(|s| (s.address, s.uid.clone()));
        let address = known.as_ref().map(|(address, _)| *address);
        let attempt = {
            let (driver, id, progress) = (self.clone(), id.clone(), progress.clone());
            let outgoing = open.outgoing.clone();
            let at_most_once = open.at_most_once;
            let recorder = self.recorder.borrow().clone();
            let recorder = recorder.filter(|recorder| at_most_once || recorder.records_repeatable(&id));
            async move {
                if let (Some(recorder), Some(address)) = (recorder, address) {
                    if !recorder.record_send(&id, number, address, now).await {
                        let end = AttemptEnd::without_response(Outcome::NeverSent);
                        return driver.finish_attempt(&id, number, end);
                    }
                    progress.is_recorded.set(true);
                    // The wait for the disk does not count as time of the server.
                    if let Some(attempt) = driver.state.borrow_mut().running_attempt(&id, number) {
                        attempt.sent_at = driver.clock.now();
                    }
                }
                let name = known.map(|(_, name)| name).unwrap_or_default();
                let request = |source_failed: &Rc<Cell<bool>>| {
                    let time_left = driver.time_left_to_send(server, give_up_at);
                    time_left.map(|time_left| outgoing.for_attempt(time_left, &name, source_failed))
                };
                driver.wait_for_resume().await;
                let end = match address {
                    Some(address) => {
                        let upstream = &driver.upstream;
                        upstream.attempt(server, address, &progress, at_most_once, sent_before, request).await
                    }
                    None => AttemptEnd::without_response(Outcome::NeverSent),
                };
                driver.finish_attempt(&id, number, end);
            }
        };
        let task = tokio::task::spawn_local(attempt).abort_handle();
        *last_timer += 1;
        let timer = (give_up_at.whole_micros(), *last_timer);
        timers.insert(timer, Timer::AttemptTimeout(id, number));
        if timers.keys().next() == Some(&timer) {
            self.first_timer_changed.notify_one();
        }
        open.attempts.push(Attempt { server, sent_at: now, progress, task, timer, is_ended: false });
    }

    /// Returns the time left for an attempt whose first byte is about to be written, or `None` if it must not
    /// be sent: the server is draining or removed, or might be according to input not yet read after a pause,
    /// the send guard forbids it, or the time is up. If the client has disconnected, the attempt was given up before.
    fn time_left_to_send(&self, server: ServerId, give_up_at: Timestamp) -> Option<Millis> {
        let now = self.clock.now();
        self.detect_pause(now);
        let time_left = give_up_at.millis_since(now);
        let state = self.state.borrow();
        let is_paused = now < self.paused_until.get();
        let is_serving = state.servers.get(&server).is_some_and(|s| s.state == ListedServerState::Serving);
        let may_send = self.send_guard.borrow().as_ref().is_none_or(|guard| guard.may_send());
        (is_serving && may_send && !is_paused && time_left > 0.0).then_some(time_left)
    }

    /// Aborts an attempt and closes its connection.
    pub(super) fn give_up(
        &self,
        state: &mut State,
        id: &RequestId,
        number: u32,
        outcome: Outcome,
        now: Timestamp,
    ) {
        let Some(attempt) = state.running_attempt(id, number) else { return };
        attempt.task.abort();
        // A request of which no byte was written cannot have run, so it may be sent again or rejected even if it
        // must not run twice.
        let outcome = if attempt.progress.may_have_run() { outcome } else { Outcome::NeverSent };
        self.apply_attempt_end(state, id, number, AttemptEnd::without_response(outcome), now);
    }

    fn finish_attempt(self: &Rc<Self>, id: &RequestId, number: u32, end: AttemptEnd) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        self.apply_attempt_end(&mut state, id, number, end, now);
        self.process_events_at(&mut state, now);
    }

    /// Applies the result of an attempt; only the first result of each attempt has an effect.
    fn apply_attempt_end(
        &self,
        state: &mut State,
        id: &RequestId,
        number: u32,
        end: AttemptEnd,
        now: Timestamp,
    ) {
        let Some(attempt) = state.running_attempt(id, number) else { return };
        attempt.is_ended = true;
        let (server, sent_at, timer) = (attempt.server, attempt.sent_at, attempt.timer);
        if attempt.progress.is_recorded.get() {
            if let Some(recorder) = &*self.recorder.borrow() {
                let status = match &end.response {
                    Some(response) => Some(response.status().as_u16()),
                    None => (end.outcome == Outcome::Ok).then_some(200),
                };
                recorder.record_result(id, number, end.outcome.never_ran(), status);
            }
        }
        state.timers.remove(&timer);
        match (end.outcome, end.response) {
            (Outcome::Ok, Some(response)) => {
                state.respond(id, response.into());
            }
            (Outcome::Ok, None) => {
                state.respond(id, FinalResponse::Served(end.body, end.content_type));
            }
            (_, response) => {
                if let Some(open) = state.requests.get_mut(id) {
                    open.fallback = response;
                    open.timed_out = end.outcome == Outcome::Timeout;
                    if open.outgoing.body.is_consumed() {
                        // Tells the gateway that the request cannot be sent again.
                        let request = id.clone();
                        state.events.push_back(Event::StreamStarted { request, attempt: number });
                    }
                }
            }
        }
        let is_final = state.requests.get(id).is_none_or(|open| open.response.is_none());
        state.events.push_back(Event::AttemptEnded(AttemptResult {
            request: id.clone(),
            attempt: number,
            server,
            outcome: end.outcome,
            elapsed: now.millis_since(sent_at),
            is_final,
            metered_percent: end.metered_percent,
            load: end.load,
        }));
        state.remove_if_ended(id);
    }
}
