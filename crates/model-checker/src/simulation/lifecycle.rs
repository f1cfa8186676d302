//! Machines of a simulation: starting, stopping, losing disks, leaving.

use super::*;

impl Simulation<'_> {
    pub(super) fn add(&mut self) {
        self.last_incarnation += 1;
        self.machines.push(Machine {
            store: None,
            disk: DurableState::new(self.last_incarnation),
            snapshots: VecDeque::new(),
            run: 0,
            is_paused: false,
            waiting: Vec::new(),
            cut_in: 0.0,
            cut_out: 0.0,
            armed_faults: Vec::new(),
            out: BTreeMap::new(),
            lost: false,
            caught_up: None,
            gone: false,
            starts_at: 0.0,
            seeds: Vec::new(),
            leaves: None,
        });
    }

    /// Whom a machine asks first: as set at the first start; who comes later is told who is there then.
    pub(super) fn seeds(&mut self, n: usize) -> Vec<Ipv4Addr> {
        if n < self.schedule.stores {
            return adapter::seeds(self.schedule.stores, self.schedule.all_known);
        }
        if self.machines[n].seeds.is_empty() {
            let there = (0..n).filter(|n| !self.machines[*n].gone && !self.machines[*n].lost);
            self.machines[n].seeds = there.map(adapter::ip).collect();
        }
        self.machines[n].seeds.clone()
    }

    pub(super) fn start(&mut self, n: usize, first: bool) {
        let seeds = self.seeds(n);
        let machine = &mut self.machines[n];
        if machine.store.is_some() || machine.gone || self.now + QUEUE_RESOLUTION_MS < machine.starts_at {
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
        // Which rounds are marked may be read back or not.
        let marks = machine.run % 2 == 0;
        let kept = adapter::loaded(machine.disk.clone(), marks, self.defect);
        let seed = drawn(self.schedule.seed, (n, 0, machine.run), 1).u64(..);
        machine.store = Some(adapter::start(n, seeds, first, kept, seed));
        let run = machine.run;
        self.checker.started(n);
        self.read.retain(|(asker, _), _| *asker != n);
        let phase = TICK_INTERVAL_MS * drawn(self.schedule.seed, (n, 0, run), 2).f64();
        self.at(self.now + phase, ScheduledStep::Tick(n, run));
        self.tell(|| format!("store {n} starts"));
        self.after_step(n);
    }

    pub(super) fn stop(&mut self, n: usize) {
        let machine = &mut self.machines[n];
        if machine.store.take().is_none() {
            return;
        }
        machine.is_paused = false;
        machine.waiting.clear();
        machine.out.clear();
        machine.leaves = None;
        self.checker.drop_calls(n);
        self.tell(|| format!("store {n} stops"));
    }

    pub(super) fn stop_for(&mut self, n: usize, time: f64) {
        self.stop(n);
        self.machines[n].starts_at = self.now + time;
        self.at(self.now + time, ScheduledStep::Start(n));
    }

    /// Whether the membership bears the loss of these disks now, whatever it may be just now.
    pub(super) fn tolerates_loss(&self, lost: &[usize]) -> bool {
        // A change of the membership has ended when a quorum of the new one have it on disk. Until then the one before
        // it counts too, and each that is written down anywhere.
        let mut groups = Vec::new();
        let mut highest = 0;
        for machine in &self.machines {
            let now = machine.store.as_ref().map(Store::state);
            for kept in now.into_iter().chain([&machine.disk]) {
                groups.extend(adapter::group(&kept.items));
                groups.extend(adapter::pending_group(kept));
            }
        }
        for group in &groups {
            let members = adapter::members_of(group);
            let on_disk = |member: &&Ipv4Addr| {
                let disk = self.machines.get(machine(**member)).filter(|m| !m.gone).map(|m| &m.disk);
                disk.and_then(|disk| adapter::group(&disk.items))
                    .is_some_and(|held| held.version >= group.version)
            };
            if 2 * members.iter().filter(on_disk).count() > members.len() {
                highest = highest.max(group.version);
            }
        }
        groups.iter().filter(|group| group.version >= highest).all(|group| {
            let members = adapter::members_of(group);
            let is_lost = |member: &&Ipv4Addr| {
                let n = machine(**member);
                lost.contains(&n) || self.machines.get(n).is_none_or(|m| m.lost || m.gone)
            };
            members.iter().filter(is_lost).count() <= (members.len() - 1) / 2
        })
    }

    pub(super) fn lose_disk(&mut self, n: usize) -> bool {
        if self.machines[n].gone || !self.tolerates_loss(&[n]) {
            return false;
        }
        self.stop(n);
        self.last_incarnation += 1;
        let life = self.last_incarnation;
        let defect = self.defect;
        let machine = &mut self.machines[n];
        machine.disk = adapter::lost(&machine.disk, life, defect);
        machine.snapshots.clear();
        machine.lost = true;
        machine.caught_up = None;
        self.machine_faults += 1;
        self.tell(|| format!("store {n} loses its disk"));
        true
    }

    pub(super) fn machine_fault(&mut self, n: usize, machine_fault: MachineFault) {
        if self.machines[n].gone {
            return;
        }
        self.tell(|| format!("store {n}: {machine_fault:?}"));
        match machine_fault {
            MachineFault::CutOff(direction, time) => {
                let until = self.now + time;
                let machine = &mut self.machines[n];
                if direction != LinkDirection::Out {
                    machine.cut_in = machine.cut_in.max(until);
                }
                if direction != LinkDirection::In {
                    machine.cut_out = machine.cut_out.max(until);
                }
                self.machine_faults += 1;
            }
            MachineFault::Crash(time) => {
                self.stop_for(n, time);
                self.machine_faults += 1;
            }
            MachineFault::Pause(time) => {
                if self.machines[n].store.is_some() && !self.machines[n].is_paused {
                    self.machines[n].is_paused = true;
                    self.at(self.now + time, ScheduledStep::Resume(n));
                    self.machine_faults += 1;
                }
            }
            MachineFault::Wipe(time) => {
                if self.lose_disk(n) {
                    self.stop_for(n, time);
                }
            }
        }
    }

    /// Ends one that leaves when it is relieved or has waited long enough. One that is relieved is gone with its disk, and
    /// so is one whose loss the membership bears; another is kept.
    pub(super) fn left(&mut self, n: usize) {
        let machine = &self.machines[n];
        let (Some(store), Some(until)) = (&machine.store, machine.leaves) else { return };
        if !adapter::is_relieved(store) && self.now < until {
            return;
        }
        let relieved = adapter::is_relieved(store);
        self.machines[n].leaves = None;
        if relieved {
            self.stop(n);
            self.machines[n].gone = true;
        } else if self.lose_disk(n) {
            self.machines[n].gone = true;
        } else {
            // Its disk may still be needed: who replaces it starts it again.
            self.stop_for(n, RETURN_TIME_MS);
        }
        self.machine_faults += 1;
    }

    pub(super) fn fires(&mut self, n: usize, trigger: Trigger) -> bool {
        let Some(place) =
            self.machines[n].armed_faults.iter().position(|(armed_faults, _)| *armed_faults == trigger)
        else {
            return false;
        };
        let (_, machine_fault) = self.machines[n].armed_faults.remove(place);
        self.machine_fault(n, machine_fault);
        self.machines[n].store.is_none()
    }
}
