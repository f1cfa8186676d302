//! Execution of a schedule's events, and the advance of time.

use super::*;

impl Simulation<'_> {
    pub(super) fn event(&mut self, event: &Event) {
        let is_known = |n: &usize| *n < self.machines.len();
        match event {
            Event::Call(store, call) if is_known(store) => {
                self.call(*store, call);
            }
            Event::MachineFault(n, Trigger::Now, machine_fault) if is_known(n) => {
                self.machine_fault(*n, *machine_fault);
            }
            Event::MachineFault(n, trigger, machine_fault) if is_known(n) => {
                self.machines[*n].armed_faults.push((*trigger, *machine_fault));
            }
            Event::BlockLink(from, to, duration) if from != to => {
                self.block_link(*from, *to, *duration);
                self.machine_faults += 1;
            }
            Event::DelayLink(from, to, delay, duration) if from != to => {
                let delayed_until = self.now + duration;
                let link = self.links.entry((*from, *to)).or_default();
                link.delayed_until = delayed_until;
                link.extra_delay = *delay;
            }
            Event::Partition(isolated, duration) => self.partition(*isolated, *duration),
            Event::PowerLoss(duration) => self.lose_power(0, *duration),
            Event::PowerAndDiskLoss(lost, duration) => self.lose_power(*lost, *duration),
            Event::MachineJoins if self.machines.len() < MAX_MACHINES => self.join(),
            Event::MachineFails(n) if is_known(n) => {
                let has_failed = self.lose_disk(*n);
                self.machines[*n].has_failed |= has_failed;
            }
            Event::MachineLeaves(n) if is_known(n) => self.leave(*n),
            Event::Reset(n) if is_known(n) => self.reset_requests(*n),
            Event::NetworkConditions { duration, .. } => {
                self.network_conditions.push((self.now + duration, event.clone()));
            }
            _ => {}
        }
    }

    fn block_link(&mut self, from: usize, to: usize, duration: f64) {
        let until = self.now + duration;
        let link = self.links.entry((from, to)).or_default();
        link.blocked_until = link.blocked_until.max(until);
    }

    /// Isolates the machines of a set from all others.
    fn partition(&mut self, isolated: u32, duration: f64) {
        let is_isolated = |n: usize| isolated & (1 << n) != 0;
        for from in 0..self.machines.len() {
            for to in 0..self.machines.len() {
                if is_isolated(from) != is_isolated(to) {
                    self.block_link(from, to, duration);
                }
            }
        }
        self.machine_faults += 1;
    }

    fn join(&mut self) {
        self.add_machine();
        let n = self.machines.len() - 1;
        self.machines[n].counts_as_lost = true;
        self.start(n, false);
    }

    fn leave(&mut self, n: usize) {
        let now = self.now;
        let Some(store) = &mut self.machines[n].store else { return };
        let should_wait = adapter::leave(store, now);
        if self.execute_effects(n) {
            let wait = if should_wait { LEAVE_TIMEOUT_MS } else { 0.0 };
            self.machines[n].stop_deadline = Some(now + wait);
            self.stop_if_left(n);
        }
    }

    /// Reports all outstanding requests of a machine to it as lost.
    fn reset_requests(&mut self, n: usize) {
        let now = self.now;
        let run = self.machines[n].run;
        for (number, from) in self.machines[n].outstanding.clone() {
            let lost = Message { from, to: n, run, number, sent_at: now, body: Body::NoReply };
            self.schedule_step(now, ScheduledStep::Message(lost));
        }
    }

    pub(super) fn lose_power(&mut self, lost: u32, duration: f64) {
        for n in 0..self.machines.len() {
            self.stop_for(n, duration + n as f64);
        }
        for n in 0..self.machines.len() {
            if lost & (1 << n) != 0 {
                self.lose_disk(n);
            }
        }
        self.machine_faults += 1;
    }

    pub(super) fn call(&mut self, n: usize, call: &ClientCall) -> Option<CommandId> {
        let now = self.now;
        let machine = &mut self.machines[n];
        // A call to a paused or stopped store gets no result and has no effect.
        let store = machine.store.as_mut().filter(|_| !machine.is_paused)?;
        let id = self.next_call;
        self.next_call += 1;
        self.checker.record_call(now, id, n, call.clone());
        store.submit(Timestamp::from_millis(now), id, call.to_command());
        self.log_line(|| format!("store {n} receives call {id}: {call:?}"));
        self.execute_effects(n);
        Some(id)
    }

    pub(super) fn resume(&mut self, n: usize) {
        if !std::mem::take(&mut self.machines[n].is_paused) {
            return;
        }
        let waiting = std::mem::take(&mut self.machines[n].waiting);
        let run = self.machines[n].run;
        // The resumed store ticks either before or after it processes waiting messages.
        if seeded_rng(self.schedule.seed, (n, 1, run), 6).bool() {
            self.tick(n);
        }
        for message in waiting {
            self.process(message);
        }
    }

    pub(super) fn step(&mut self, step: ScheduledStep) {
        match step {
            ScheduledStep::Event(number) => {
                let schedule = self.schedule;
                let event = &schedule.events[number].1;
                self.log_line(|| format!("* {event}"));
                self.event(event);
            }
            ScheduledStep::Tick(n, run) => {
                if self.machines[n].run == run && self.machines[n].store.is_some() {
                    if !self.machines[n].is_paused {
                        self.tick(n);
                    }
                    self.schedule_step(self.now + TICK_INTERVAL_MS, ScheduledStep::Tick(n, run));
                }
            }
            ScheduledStep::Start(n) => self.start(n, false),
            ScheduledStep::Resume(n) => self.resume(n),
            ScheduledStep::Message(message) => self.deliver(message),
            ScheduledStep::Epoch(n, run, id) => {
                let machine = &self.machines[n];
                let (Some(store), true) = (&machine.store, machine.run == run) else { return };
                let Some(key) = self.checker.calls.get(&id).and_then(|call| call.request.key()) else {
                    return;
                };
                let epoch = store.state().items.version(key.table, &key.name);
                self.checker.check_epoch(self.now, id, epoch);
            }
            ScheduledStep::Save(n, run, state) => {
                // A save that was pending at a power loss never takes place.
                if self.machines[n].run == run && self.machines[n].store.is_some() {
                    self.write_disk(n, *state);
                }
            }
        }
    }

    pub(super) fn advance(&mut self, until: f64) {
        while self.checker.violation.is_none() {
            match self.queue.first_key_value() {
                Some(((at, _), _)) if *at as f64 / 1000.0 <= until => {}
                _ => break,
            }
            let Some(((at, _), step)) = self.queue.pop_first() else { break };
            self.now = self.now.max(at as f64 / 1000.0);
            self.step(step);
        }
        self.now = self.now.max(until);
    }
}
