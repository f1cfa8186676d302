//! Messages of a simulation: delays, faults, delivery.

use super::*;

impl Simulation<'_> {
    pub(super) fn delay(&self, message_id: MessageId) -> f64 {
        let mut rng = drawn(self.schedule.seed, message_id, 4);
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
        let mut rng = drawn(self.schedule.seed, message_id, 5);
        for (_, network_conditions) in &self.network_conditions {
            let Event::NetworkConditions { lost, doubled, late, longest, reset, .. } = network_conditions
            else {
                continue;
            };
            let later = (longest * rng.f64() * rng.f64()).round();
            let draw = rng.u32(..1_000);
            let bounds = [*lost, lost + doubled, lost + doubled + late, lost + doubled + late + reset];
            let message_fault = match bounds.iter().position(|bound| draw < *bound) {
                Some(0) => MessageFault::Lost,
                Some(1) => MessageFault::Doubled(later),
                Some(2) => MessageFault::Late(later),
                Some(3) => MessageFault::Reset(later),
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
        let slower = if self.now < link.slow { link.slower } else { 0.0 };
        let mut at = self.now + self.delay(message_id) + slower;
        let message_fault = self.message_fault(message_id);
        if let Some(message_fault) = message_fault {
            self.message_faults.insert(message_id, message_fault);
        }
        let is_ask = matches!(message.body, Body::PeerRequest(_));
        if is_ask && self.schedule.impatient {
            self.nothing(self.now + REPLY_TIMEOUT_MS, &message);
        }
        match message_fault {
            Some(MessageFault::Lost) => return,
            Some(MessageFault::Doubled(later)) => {
                if let Some(duplicate) = message.duplicate() {
                    self.at(at + later, ScheduledStep::Message(duplicate));
                }
            }
            Some(MessageFault::Late(later)) => at += later,
            Some(MessageFault::Reset(later)) => {
                if is_ask {
                    self.nothing(at, &message);
                    at += later;
                } else {
                    // The answer is lost, and that is known to who asked.
                    let Message { from, to, run, number, asked, .. } = message;
                    let nothing = Message { from, to, run, number, asked, body: Body::Nothing };
                    return self.at(at, ScheduledStep::Message(nothing));
                }
            }
            None => {}
        }
        self.at(at, ScheduledStep::Message(message));
    }

    pub(super) fn nothing(&mut self, at: f64, of: &Message) {
        let Message { from, to, run, number, asked, .. } = *of;
        self.at(
            at,
            ScheduledStep::Message(Message { from: to, to: from, run, number, asked, body: Body::Nothing }),
        );
    }

    pub(super) fn passes(&self, from: usize, to: usize) -> bool {
        let cut = self.links.get(&(from, to)).is_some_and(|link| self.now < link.cut);
        !cut && self.now >= self.machines[from].cut_out && self.now >= self.machines[to].cut_in
    }

    pub(super) fn deliver(&mut self, message: Message) {
        let (from, to) = (message.from, message.to);
        let passes = matches!(message.body, Body::Nothing) || self.passes(from, to);
        let Some(target) = self.machines.get_mut(to) else { return };
        if !passes || target.store.is_none() {
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
        let Message { from, to, run, number, asked, body } = message;
        if self.machines[to].store.is_none() {
            return;
        }
        match body {
            Body::PeerRequest(request) => {
                let Some(body) = self.handle_request(from, to, request) else { return };
                let is_accepted = matches!(&body, Body::PeerReply(reply, _) if adapter::is_accepted(reply));
                self.send(Message { from: to, to: from, run, number, asked, body });
                if is_accepted {
                    self.fires(to, Trigger::Written);
                }
            }
            // The connection of one that has started again is gone.
            Body::PeerReply(..) | Body::Nothing if self.machines[to].run != run => {}
            Body::PeerReply(reply, contact) => {
                let is_first = self.machines[to].out.remove(&number).is_some();
                self.handle_reply(from, to, number, reply, contact.filter(|_| is_first), asked);
            }
            Body::Nothing => {
                let now = Timestamp::from_millis(self.now);
                let target = &mut self.machines[to];
                target.out.remove(&number);
                if let Some(store) = &mut target.store {
                    store.handle_response(now, number, None);
                }
                self.carry_out(to);
            }
        }
    }

    fn log_message(&mut self, message: &Message) {
        if !self.logs || self.now <= FOUNDING_TIME_MS {
            return;
        }
        let what = match &message.body {
            Body::PeerRequest(request) => format!("{request:?}"),
            Body::PeerReply(reply, _) => format!("{reply:?}"),
            Body::Nothing => "no answer".to_owned(),
        };
        let (from, to, number, asked) = (message.from, message.to, message.number % 10_000, message.asked);
        self.tell(|| format!("  {from} to {to}, {number} asked at {asked:.0}: {what}"));
    }

    /// The answer of a store; `None` if the store went down before it could answer.
    fn handle_request(&mut self, from: usize, to: usize, request: PeerRequest) -> Option<Body> {
        let now = self.now;
        let request = adapter::tampered_request(request, self.defect);
        let store = self.machines[to].store.as_mut()?;
        let reply = store.handle_request(Timestamp::from_millis(now), adapter::ip(from), request);
        let contact = adapter::contact_of(store, &reply);
        if let Some(record) = &mut self.record {
            record.write(serde_json::to_string(&reply).unwrap_or_default().as_bytes());
        }
        if !self.carry_out(to) {
            return None;
        }
        self.checker.check_chosen(now, &place_name(to), adapter::chosen_in_reply(&reply));
        Some(Body::PeerReply(reply, contact))
    }

    fn handle_reply(
        &mut self,
        from: usize,
        to: usize,
        number: u64,
        reply: PeerReply,
        contact: Option<u64>,
        asked: f64,
    ) {
        let now = self.now;
        let Some(store) = &mut self.machines[to].store else { return };
        if adapter::is_contact(store, contact) {
            self.checker.contact(to, from, asked);
            self.read.insert((to, from), now);
        }
        let reply = adapter::tampered_reply(store, reply, self.defect);
        store.handle_response(Timestamp::from_millis(now), number, Some(reply));
        self.carry_out(to);
    }
}
