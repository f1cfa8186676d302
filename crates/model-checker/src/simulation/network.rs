//! Messages of a simulation: delays, faults and delivery.

use super::*;

impl Simulation<'_> {
    pub(super) fn delay(&self, message_id: MessageId) -> f64 {
        let mut rng = seeded_rng(self.schedule.seed, message_id, 4);
        let (from, to, _) = message_id;
        match self.schedule.links {
            0 => 0.5 + 2.0 * rng.f64(),
            1 if from / 2 == to / 2 => 0.9 + 0.2 * rng.f64(),
            1 => 55.0 + 2.0 * rng.f64(),
            2 => 1.0 + 59.0 * rng.f64(),
            _ => 1.0 + 199.0 * rng.f64(),
        }
    }

    pub(super) fn message_fault(&mut self, message_id: MessageId) -> Option<MessageFault> {
        if let Some(known) = &self.schedule.message_faults {
            return known.get(&message_id).copied();
        }
        let now = self.now;
        self.network_conditions.retain(|(until, _)| now < *until);
        let mut rng = seeded_rng(self.schedule.seed, message_id, 5);
        for (_, network_conditions) in &self.network_conditions {
            let Event::NetworkConditions { lost, duplicated, delayed, max_delay, reset, .. } =
                network_conditions
            else {
                continue;
            };
            let delay = (max_delay * rng.f64() * rng.f64()).round();
            let draw = rng.u32(..1_000);
            let bounds =
                [*lost, lost + duplicated, lost + duplicated + delayed, lost + duplicated + delayed + reset];
            let message_fault = match bounds.iter().position(|bound| draw < *bound) {
                Some(0) => MessageFault::Lost,
                Some(1) => MessageFault::Duplicated(delay),
                Some(2) => MessageFault::Delayed(delay),
                Some(3) => MessageFault::Reset(delay),
                _ => continue,
            };
            return Some(message_fault);
        }
        None
    }

    pub(super) fn send(&mut self, message: Message) {
        let (from, to) = (message.from, message.to);
        let link = self.links.entry((from, to)).or_default();
        link.sent += 1;
        let message_id = (from, to, link.sent);
        let extra_delay = if self.now < link.delayed_until { link.extra_delay } else { 0.0 };
        let mut at = self.now + self.delay(message_id) + extra_delay;
        let message_fault = self.message_fault(message_id);
        if let Some(message_fault) = message_fault {
            self.message_faults.insert(message_id, message_fault);
        }
        let is_request = matches!(message.body, Body::PeerRequest(_));
        if is_request && self.schedule.has_request_timeout {
            self.send_no_reply(self.now + REPLY_TIMEOUT_MS, &message);
        }
        match message_fault {
            Some(MessageFault::Lost) => return,
            Some(MessageFault::Duplicated(delay)) => {
                if let Some(duplicate) = message.duplicate() {
                    self.schedule_step(at + delay, ScheduledStep::Message(duplicate));
                }
            }
            Some(MessageFault::Delayed(delay)) => at += delay,
            Some(MessageFault::Reset(delay)) => {
                if is_request {
                    self.send_no_reply(at, &message);
                    at += delay;
                } else {
                    // The reply is lost, and the requester is told.
                    let Message { from, to, run, number, sent_at, .. } = message;
                    let no_reply = Message { from, to, run, number, sent_at, body: Body::NoReply };
                    return self.schedule_step(at, ScheduledStep::Message(no_reply));
                }
            }
            None => {}
        }
        self.schedule_step(at, ScheduledStep::Message(message));
    }

    pub(super) fn send_no_reply(&mut self, at: f64, of: &Message) {
        let Message { from, to, run, number, sent_at, .. } = *of;
        self.schedule_step(
            at,
            ScheduledStep::Message(Message { from: to, to: from, run, number, sent_at, body: Body::NoReply }),
        );
    }

    pub(super) fn is_link_open(&self, from: usize, to: usize) -> bool {
        let is_blocked = self.links.get(&(from, to)).is_some_and(|link| self.now < link.blocked_until);
        !is_blocked
            && self.now >= self.machines[from].blocked_out_until
            && self.now >= self.machines[to].blocked_in_until
    }

    pub(super) fn deliver(&mut self, message: Message) {
        let (from, to) = (message.from, message.to);
        let is_link_open = matches!(message.body, Body::NoReply) || self.is_link_open(from, to);
        let Some(target) = self.machines.get_mut(to) else { return };
        if !is_link_open || target.store.is_none() {
            return;
        }
        if target.is_paused {
            target.waiting.push(message);
            return;
        }
        self.process(message);
    }

    pub(super) fn process(&mut self, message: Message) {
        self.log_message(&message);
        let Message { from, to, run, number, sent_at, body } = message;
        if self.machines[to].store.is_none() {
            return;
        }
        match body {
            Body::PeerRequest(request) => {
                let Some(body) = self.handle_request(from, to, request) else { return };
                let is_accepted = matches!(&body, Body::PeerReply(reply, _) if adapter::is_accepted(reply));
                self.send(Message { from: to, to: from, run, number, sent_at, body });
                if is_accepted {
                    self.trigger_faults(to, Trigger::SendsAccepted);
                }
            }
            // The connections of the previous run are closed.
            Body::PeerReply(..) | Body::NoReply if self.machines[to].run != run => {}
            Body::PeerReply(reply, contact) => {
                let is_first = self.machines[to].outstanding.remove(&number).is_some();
                self.handle_reply(from, to, number, reply, contact.filter(|_| is_first), sent_at);
            }
            Body::NoReply => {
                let now = Timestamp::from_millis(self.now);
                let target = &mut self.machines[to];
                target.outstanding.remove(&number);
                if let Some(store) = &mut target.store {
                    store.handle_response(now, number, None);
                }
                self.execute_effects(to);
            }
        }
    }

    fn log_message(&mut self, message: &Message) {
        if !self.log_enabled || self.now <= FOUNDING_TIME_MS {
            return;
        }
        let description = match &message.body {
            Body::PeerRequest(request) => format!("{request:?}"),
            Body::PeerReply(reply, _) => format!("{reply:?}"),
            Body::NoReply => "no reply".to_owned(),
        };
        let (from, to, number, sent_at) =
            (message.from, message.to, message.number % 10_000, message.sent_at);
        self.log_line(|| format!("  {from} to {to}, request {number} sent at {sent_at:.0}: {description}"));
    }

    /// Makes a store handle a request. Returns its reply, or `None` if the store stopped before it could reply.
    fn handle_request(&mut self, from: usize, to: usize, request: PeerRequest) -> Option<Body> {
        let now = self.now;
        let request = adapter::tampered_request(request, self.defect);
        let store = self.machines[to].store.as_mut()?;
        let reply = store.handle_request(Timestamp::from_millis(now), adapter::address_of(from), request);
        let contact = adapter::contact_version(store, &reply);
        if let Some(hasher) = &mut self.effect_hasher {
            hasher.write(serde_json::to_string(&reply).unwrap_or_default().as_bytes());
        }
        if !self.execute_effects(to) {
            return None;
        }
        self.checker.check_chosen(now, &message_origin(to), adapter::chosen_in_reply(&reply));
        Some(Body::PeerReply(reply, contact))
    }

    fn handle_reply(
        &mut self,
        from: usize,
        to: usize,
        number: u64,
        reply: PeerReply,
        contact: Option<u64>,
        sent_at: f64,
    ) {
        let now = self.now;
        let Some(store) = &mut self.machines[to].store else { return };
        if adapter::is_contact(store, contact) {
            self.checker.record_contact(to, from, sent_at);
            self.reply_read_at.insert((to, from), now);
        }
        let reply = adapter::tampered_reply(store, reply, self.defect);
        store.handle_response(Timestamp::from_millis(now), number, Some(reply));
        self.execute_effects(to);
    }
}
