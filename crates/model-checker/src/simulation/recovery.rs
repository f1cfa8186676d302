//! The end of a simulation: all faults are over, every member must take part again and answer reads.

use super::*;

impl Simulation<'_> {
    pub(super) fn run(&mut self) {
        self.pass(self.schedule.end.max(FOUNDING_TIME_MS));
        self.end_faults();
        if let Some(missing) = self.settle() {
            let now = self.now;
            self.trace_all();
            self.checker.report_unavailable(now, missing);
        }
        self.read_everywhere();
        let now = self.now;
        if self.checker.violation.is_none() {
            self.checker.ended(now, MAX_SEARCH_STEPS);
        }
    }

    /// Waits until the membership is whole; tells why it is not, in the end.
    pub(super) fn settle(&mut self) -> Option<String> {
        let until = self.now + RECOVERY_TIMEOUT_MS;
        while self.checker.violation.is_none() && self.missing().is_some() && self.now < until {
            self.pass(self.now + 250.0);
        }
        self.missing()
    }

    /// Tells how each store stands.
    pub(super) fn trace_all(&mut self) {
        for n in 0..self.machines.len() {
            let machine = &self.machines[n];
            let place = if machine.gone { "gone" } else { "there" };
            let line = match &machine.store {
                Some(store) => format!("store {n}: {}", adapter::describe(store)),
                None => format!("store {n} is {place}; it does not run"),
            };
            self.tell(|| line);
        }
    }

    pub(super) fn is_member(&self, n: usize) -> bool {
        self.machines[n].store.as_ref().is_some_and(|store| store.status() == MembershipStatus::Member)
    }

    /// The faults are over: all that is left runs, and everything passes.
    pub(super) fn end_faults(&mut self) {
        self.network_conditions.clear();
        self.links.values_mut().for_each(|link| (link.cut, link.slow) = (0.0, 0.0));
        for n in 0..self.machines.len() {
            let machine = &mut self.machines[n];
            (machine.cut_in, machine.cut_out, machine.starts_at) = (0.0, 0.0, 0.0);
            machine.armed_faults.clear();
            self.resume(n);
            self.start(n, false);
        }
    }

    /// Why the membership is not whole: each machine that is not gone is a member, or waits while all places are taken by such.
    pub(super) fn missing(&self) -> Option<String> {
        let stores = || self.machines.iter().enumerate().filter_map(|(n, m)| Some((n, m.store.as_ref()?)));
        let group =
            stores().filter_map(|(_, s)| adapter::group(&s.state().items)).max_by_key(|g| g.version)?;
        let members: Vec<usize> = adapter::members_of(group).into_iter().map(machine).collect();
        let is_member = |n: usize| members.contains(&n);
        for (n, store) in stores() {
            let held = adapter::group(&store.state().items).map_or(0, |group| group.version);
            if is_member(n) && (store.status() != MembershipStatus::Member || held < group.version) {
                return Some(format!(
                    "store {n} is {:?}, with group {held} of {}",
                    store.status(),
                    group.version
                ));
            }
            if is_member(n) && !self.checker.holds_all(&store.state().items) {
                return Some(format!("store {n} lacks {:?}", self.checker.lacks(&store.state().items)));
            }
        }
        let waiting =
            stores().filter(|(n, store)| !is_member(*n) && adapter::is_waiting_for_place(store)).count();
        let gone = members.iter().filter(|m| self.machines[**m].store.is_none()).count();
        let free = self.schedule.stores.saturating_sub(members.len());
        if waiting > 0 && gone + free > 0 {
            return Some(format!("{waiting} wait while of the group {members:?} {gone} are gone"));
        }
        None
    }

    /// Each member reads all.
    pub(super) fn read_everywhere(&mut self) {
        if self.checker.violation.is_some() {
            return;
        }
        let members: Vec<usize> = (0..self.machines.len()).filter(|n| self.is_member(*n)).collect();
        for n in members {
            let until = self.now + CALL_TIMEOUT_MS;
            let mut confirmation = None;
            // Who is not answered asks again, as operators do.
            while self.checker.violation.is_none() && confirmation != Some(Ok(())) && self.now < until {
                let Some(id) = self.call(n, &ClientCall::Read) else { break };
                let open = |simulation: &Self| {
                    simulation.checker.calls.get(&id).is_some_and(|call| call.confirmation.is_none())
                };
                while self.checker.violation.is_none() && open(self) && self.now < until {
                    self.pass(self.now + 50.0);
                }
                confirmation = self.checker.calls.get(&id).and_then(|call| call.confirmation);
                if confirmation != Some(Ok(())) {
                    self.pass(self.now + 200.0);
                }
            }
            // One that was silent may have lost its place to another meanwhile, which takes part in its stead.
            let placed = self.is_member(n) || self.settle().is_some();
            if self.checker.violation.is_none() && confirmation != Some(Ok(())) && placed {
                let now = self.now;
                self.checker.report_unavailable(
                    now,
                    format!("store {n} is asked for reads after all faults: {confirmation:?}"),
                );
            }
        }
    }
}
