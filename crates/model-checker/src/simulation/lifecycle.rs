//! Machines of a simulation: start, stop, disk loss and planned leave.

use super::*;

impl Simulation<'_> {
    pub(super) fn add_machine(&mut self) {
        self.last_incarnation += 1;
        self.machines.push(Machine {
            store: None,
            disk: DurableState::new(self.last_incarnation),
            snapshots: VecDeque::new(),
            run: 0,
            is_paused: false,
            waiting: Vec::new(),
            blocked_in_until: 0.0,
            blocked_out_until: 0.0,
            armed_faults: Vec::new(),
            outstanding: BTreeMap::new(),
            counts_as_lost: false,
            caught_up_since: None,
            has_failed: false,
            starts_at: 0.0,
            seeds: Vec::new(),
            stop_deadline: None,
        });
    }

    /// Returns the seed machines of a machine. A machine that joins later is given the machines available at that time.
    pub(super) fn seeds(&mut self, n: usize) -> Vec<Ipv4Addr> {
        if n < self.schedule.stores {
            return adapter::seeds(self.schedule.stores, self.schedule.all_are_seeds);
        }
        if self.machines[n].seeds.is_empty() {
            let available =
                (0..n).filter(|n| !self.machines[*n].has_failed && !self.machines[*n].counts_as_lost);
            self.machines[n].seeds = available.map(adapter::address_of).collect();
        }
        self.machines[n].seeds.clone()
    }

    pub(super) fn start(&mut self, n: usize, first: bool) {
        let seeds = self.seeds(n);
        let machine = &mut self.machines[n];
        if machine.store.is_some() || machine.has_failed || self.now + QUEUE_RESOLUTION_MS < machine.starts_at
        {
            return;
        }
        if self.defect == Some(Defect::StaleSnapshot) {
            if let Some(old) = machine.snapshots.front() {
                if adapter::incarnation(old) == adapter::incarnation(&machine.disk) {
                    machine.disk = old.clone();
                }
            }
        }
        machine.run += 1;
        // The watermarks are restored in every second run only.
        let with_watermarks = machine.run % 2 == 0;
        let state = adapter::restored_state(machine.disk.clone(), with_watermarks, self.defect);
        let seed = seeded_rng(self.schedule.seed, (n, 0, machine.run), 1).u64(..);
        machine.store = Some(adapter::start_store(n, seeds, first, state, seed));
        let run = machine.run;
        self.checker.record_start(n);
        self.reply_read_at.retain(|(requester, _), _| *requester != n);
        let phase = TICK_INTERVAL_MS * seeded_rng(self.schedule.seed, (n, 0, run), 2).f64();
        self.schedule_step(self.now + phase, ScheduledStep::Tick(n, run));
        self.log_line(|| format!("store {n} starts"));
        self.after_step(n);
    }

    pub(super) fn stop(&mut self, n: usize) {
        let machine = &mut self.machines[n];
        if machine.store.take().is_none() {
            return;
        }
        machine.is_paused = false;
        machine.waiting.clear();
        machine.outstanding.clear();
        machine.stop_deadline = None;
        self.checker.abandon_calls(n);
        self.log_line(|| format!("store {n} stops"));
    }

    pub(super) fn stop_for(&mut self, n: usize, duration: f64) {
        self.stop(n);
        self.machines[n].starts_at = self.now + duration;
        self.schedule_step(self.now + duration, ScheduledStep::Start(n));
    }

    /// Returns whether the membership tolerates the loss of these disks now, whichever membership is in force.
    pub(super) fn tolerates_loss(&self, lost: &[usize]) -> bool {
        // A membership change has completed when a quorum of the new membership has it on disk. Until then, the
        // previous membership counts too, and so does each one accepted anywhere.
        let mut memberships = Vec::new();
        let mut highest_version = 0;
        for machine in &self.machines {
            let now = machine.store.as_ref().map(Store::state);
            for state in now.into_iter().chain([&machine.disk]) {
                memberships.extend(adapter::membership_item(&state.items));
                memberships.extend(adapter::accepted_membership(state));
            }
        }
        for membership in &memberships {
            let members = adapter::members_of(membership);
            let on_disk = |member: &&Ipv4Addr| {
                let disk = self.machines.get(machine_of(**member)).filter(|m| !m.has_failed).map(|m| &m.disk);
                disk.and_then(|disk| adapter::membership_item(&disk.items))
                    .is_some_and(|held| held.version >= membership.version)
            };
            if 2 * members.iter().filter(on_disk).count() > members.len() {
                highest_version = highest_version.max(membership.version);
            }
        }
        memberships.iter().filter(|membership| membership.version >= highest_version).all(|membership| {
            let members = adapter::members_of(membership);
            let is_lost = |member: &&Ipv4Addr| {
                let n = machine_of(**member);
                lost.contains(&n) || self.machines.get(n).is_none_or(|m| m.counts_as_lost || m.has_failed)
            };
            members.iter().filter(is_lost).count() <= (members.len() - 1) / 2
        })
    }

    pub(super) fn lose_disk(&mut self, n: usize) -> bool {
        if self.machines[n].has_failed || !self.tolerates_loss(&[n]) {
            return false;
        }
        self.stop(n);
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let defect = self.defect;
        let machine = &mut self.machines[n];
        machine.disk = adapter::replacement_disk(&machine.disk, incarnation, defect);
        machine.snapshots.clear();
        machine.counts_as_lost = true;
        machine.caught_up_since = None;
        self.machine_faults += 1;
        self.log_line(|| format!("store {n} loses its disk"));
        true
    }

    pub(super) fn machine_fault(&mut self, n: usize, machine_fault: MachineFault) {
        if self.machines[n].has_failed {
            return;
        }
        self.log_line(|| format!("store {n}: {machine_fault:?}"));
        match machine_fault {
            MachineFault::Isolate(direction, duration) => {
                let until = self.now + duration;
                let machine = &mut self.machines[n];
                if direction != LinkDirection::Outbound {
                    machine.blocked_in_until = machine.blocked_in_until.max(until);
                }
                if direction != LinkDirection::Inbound {
                    machine.blocked_out_until = machine.blocked_out_until.max(until);
                }
                self.machine_faults += 1;
            }
            MachineFault::Crash(duration) => {
                self.stop_for(n, duration);
                self.machine_faults += 1;
            }
            MachineFault::Pause(duration) => {
                if self.machines[n].store.is_some() && !self.machines[n].is_paused {
                    self.machines[n].is_paused = true;
                    self.schedule_step(self.now + duration, ScheduledStep::Resume(n));
                    self.machine_faults += 1;
                }
            }
            MachineFault::LoseDisk(duration) => {
                if self.lose_disk(n) {
                    self.stop_for(n, duration);
                }
            }
        }
    }

    /// Stops a leaving machine when it has been replaced or has waited long enough. A replaced machine fails
    /// permanently together with its disk, and so does one whose loss the membership tolerates; any other machine
    /// restarts later.
    pub(super) fn stop_if_left(&mut self, n: usize) {
        let machine = &self.machines[n];
        let (Some(store), Some(until)) = (&machine.store, machine.stop_deadline) else { return };
        if !adapter::can_stop(store) && self.now < until {
            return;
        }
        let was_replaced = adapter::can_stop(store);
        self.machines[n].stop_deadline = None;
        if was_replaced {
            self.stop(n);
            self.machines[n].has_failed = true;
        } else if self.lose_disk(n) {
            self.machines[n].has_failed = true;
        } else {
            // The disk may still be needed, so the machine restarts.
            self.stop_for(n, RETURN_TIME_MS);
        }
        self.machine_faults += 1;
    }

    pub(super) fn trigger_faults(&mut self, n: usize, trigger: Trigger) -> bool {
        let Some(position) = self.machines[n].armed_faults.iter().position(|(armed, _)| *armed == trigger)
        else {
            return false;
        };
        let (_, machine_fault) = self.machines[n].armed_faults.remove(position);
        self.machine_fault(n, machine_fault);
        self.machines[n].store.is_none()
    }
}
