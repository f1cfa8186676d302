//! What a schedule makes happen in a simulation, and the passing of time.

use super::*;

impl Simulation<'_> {
    pub(super) fn event(&mut self, event: &Event) {
        let is_known = |n: &usize| *n < self.machines.len();
        match event {
            Event::Call(store, op) if is_known(store) => {
                self.call(*store, op);
            }
            Event::MachineFault(n, Trigger::Now, machine_fault) if is_known(n) => {
                self.machine_fault(*n, *machine_fault);
            }
            Event::MachineFault(n, trigger, machine_fault) if is_known(n) => {
                self.machines[*n].armed_faults.push((*trigger, *machine_fault));
            }
            Event::Cut(from, to, time) if from != to => {
                self.cut_link(*from, *to, *time);
                self.machine_faults += 1;
            }
            Event::Slow(from, to, later, time) if from != to => {
                let slow_until = self.now + time;
                let link = self.links.entry((*from, *to)).or_default();
                link.slow = slow_until;
                link.slower = *later;
            }
            Event::Split(side, time) => self.split(*side, *time),
            Event::Power(time) => self.power(0, *time),
            Event::PowerAndDisks(lost, time) => self.power(*lost, *time),
            Event::MachineJoins if self.machines.len() < MAX_MACHINES => self.join(),
            Event::MachineVanishes(n) if is_known(n) => {
                let gone = self.lose_disk(*n);
                self.machines[*n].gone |= gone;
            }
            Event::MachineLeaves(n) if is_known(n) => self.leave(*n),
            Event::Reset(n) if is_known(n) => self.reset_requests(*n),
            Event::NetworkConditions { time, .. } => {
                self.network_conditions.push((self.now + time, event.clone()));
            }
            _ => {}
        }
    }

    fn cut_link(&mut self, from: usize, to: usize, time: f64) {
        let until = self.now + time;
        let link = self.links.entry((from, to)).or_default();
        link.cut = link.cut.max(until);
    }

    /// Cuts the machines of a set off from all others.
    fn split(&mut self, side: u32, time: f64) {
        let is_inside = |n: usize| side & (1 << n) != 0;
        for from in 0..self.machines.len() {
            for to in 0..self.machines.len() {
                if is_inside(from) != is_inside(to) {
                    self.cut_link(from, to, time);
                }
            }
        }
        self.machine_faults += 1;
    }

    fn join(&mut self) {
        self.add();
        let n = self.machines.len() - 1;
        self.machines[n].lost = true;
        self.start(n, false);
    }

    fn leave(&mut self, n: usize) {
        let now = self.now;
        let Some(store) = &mut self.machines[n].store else { return };
        let is_waiting_for_place = adapter::leave(store, now);
        if self.carry_out(n) {
            let wait = if is_waiting_for_place { LEAVE_TIMEOUT_MS } else { 0.0 };
            self.machines[n].leaves = Some(now + wait);
            self.left(n);
        }
    }

    /// All requests of a machine that are out are known to be lost.
    fn reset_requests(&mut self, n: usize) {
        let now = self.now;
        let run = self.machines[n].run;
        for (number, from) in self.machines[n].out.clone() {
            let lost = Message { from, to: n, run, number, asked: now, body: Body::Nothing };
            self.at(now, ScheduledStep::Message(lost));
        }
    }

    pub(super) fn power(&mut self, lost: u32, time: f64) {
        for n in 0..self.machines.len() {
            self.stop_for(n, time + n as f64);
        }
        for n in 0..self.machines.len() {
            if lost & (1 << n) != 0 {
                self.lose_disk(n);
            }
        }
        self.machine_faults += 1;
    }

    pub(super) fn call(&mut self, n: usize, op: &ClientCall) -> Option<CommandId> {
        let now = self.now;
        let machine = &mut self.machines[n];
        // Who calls one that is paused or is down is told nothing, and nothing is begun.
        let store = machine.store.as_mut().filter(|_| !machine.is_paused)?;
        let id = self.next_call;
        self.next_call += 1;
        self.checker.record_call(now, id, n, op.clone());
        store.submit(Timestamp::from_millis(now), id, op.change());
        self.tell(|| format!("store {n} takes call {id}: {op:?}"));
        self.carry_out(n);
        Some(id)
    }

    pub(super) fn resume(&mut self, n: usize) {
        if !std::mem::take(&mut self.machines[n].is_paused) {
            return;
        }
        let waiting = std::mem::take(&mut self.machines[n].waiting);
        let run = self.machines[n].run;
        // The clock may be looked at before what has come is read, or after.
        if drawn(self.schedule.seed, (n, 1, run), 6).bool() {
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
                self.tell(|| format!("* {event}"));
                self.event(event);
            }
            ScheduledStep::Tick(n, run) => {
                if self.machines[n].run == run && self.machines[n].store.is_some() {
                    if !self.machines[n].is_paused {
                        self.tick(n);
                    }
                    self.at(self.now + TICK_INTERVAL_MS, ScheduledStep::Tick(n, run));
                }
            }
            ScheduledStep::Start(n) => self.start(n, false),
            ScheduledStep::Resume(n) => self.resume(n),
            ScheduledStep::Message(message) => self.deliver(message),
            ScheduledStep::Epoch(n, run, id) => {
                let machine = &self.machines[n];
                let (Some(store), true) = (&machine.store, machine.run == run) else { return };
                let Some(key) = self.checker.calls.get(&id).and_then(|call| call.op.key()) else { return };
                let epoch = store.state().items.version(key.table, &key.name);
                self.checker.check_epoch(self.now, id, epoch);
            }
            ScheduledStep::Save(n, run, kept) => {
                // What was owed when the power went never happened.
                if self.machines[n].run == run && self.machines[n].store.is_some() {
                    self.put(n, *kept);
                }
            }
        }
    }

    pub(super) fn pass(&mut self, until: f64) {
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
