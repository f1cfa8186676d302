//! The end of a simulation: after all faults, every member must take part again and answer reads.

use super::*;

impl Simulation<'_> {
    pub(super) fn run(&mut self) {
        self.advance(self.schedule.end.max(FOUNDING_TIME_MS));
        self.end_faults();
        if let Some(incomplete_reason) = self.wait_for_recovery() {
            let now = self.now;
            self.log_states();
            self.checker.report_unavailable(now, incomplete_reason);
        }
        self.read_everywhere();
        let now = self.now;
        if self.checker.violation.is_none() {
            self.checker.check_histories(now, MAX_SEARCH_STEPS);
        }
    }

    /// Waits until the membership is complete. Returns the reason if it does not become complete.
    pub(super) fn wait_for_recovery(&mut self) -> Option<String> {
        let until = self.now + RECOVERY_TIMEOUT_MS;
        while self.checker.violation.is_none() && self.incomplete_reason().is_some() && self.now < until {
            self.advance(self.now + 250.0);
        }
        self.incomplete_reason()
    }

    /// Logs the state of each store.
    pub(super) fn log_states(&mut self) {
        for n in 0..self.machines.len() {
            let machine = &self.machines[n];
            let condition = if machine.has_failed { "has failed permanently" } else { "is stopped" };
            let line = match &machine.store {
                Some(store) => format!("store {n}: {}", adapter::describe(store)),
                None => format!("store {n} {condition}"),
            };
            self.log_line(|| line);
        }
    }

    pub(super) fn is_member(&self, n: usize) -> bool {
        self.machines[n].store.as_ref().is_some_and(|store| store.status() == MembershipStatus::Member)
    }

    /// Ends all faults: starts or resumes every remaining machine and delivers all messages.
    pub(super) fn end_faults(&mut self) {
        self.network_conditions.clear();
        self.links.values_mut().for_each(|link| (link.blocked_until, link.delayed_until) = (0.0, 0.0));
        for n in 0..self.machines.len() {
            let machine = &mut self.machines[n];
            (machine.blocked_in_until, machine.blocked_out_until, machine.starts_at) = (0.0, 0.0, 0.0);
            machine.armed_faults.clear();
            self.resume(n);
            self.start(n, false);
        }
    }

    /// Returns the reason for which the membership is incomplete. It is complete if each remaining machine is a member,
    /// or waits while all slots are taken by running members.
    pub(super) fn incomplete_reason(&self) -> Option<String> {
        let stores = || self.machines.iter().enumerate().filter_map(|(n, m)| Some((n, m.store.as_ref()?)));
        let membership = stores()
            .filter_map(|(_, s)| adapter::membership_item(&s.state().items))
            .max_by_key(|g| g.version)?;
        let members: Vec<usize> = adapter::members_of(membership).into_iter().map(machine_of).collect();
        let is_member = |n: usize| members.contains(&n);
        for (n, store) in stores() {
            let held =
                adapter::membership_item(&store.state().items).map_or(0, |membership| membership.version);
            if is_member(n) && (store.status() != MembershipStatus::Member || held < membership.version) {
                return Some(format!(
                    "store {n} is {:?}, with membership version {held} of {}",
                    store.status(),
                    membership.version
                ));
            }
            if is_member(n) && !self.checker.has_all_acknowledged(&store.state().items) {
                return Some(format!(
                    "store {n} is missing {:?}",
                    self.checker.describe_missing(&store.state().items)
                ));
            }
        }
        let waiting =
            stores().filter(|(n, store)| !is_member(*n) && adapter::is_waiting_for_membership(store)).count();
        let not_running = members.iter().filter(|m| self.machines[**m].store.is_none()).count();
        let free = self.schedule.stores.saturating_sub(members.len());
        if waiting > 0 && not_running + free > 0 {
            return Some(format!("{waiting} machines wait for a slot while {not_running} of the members {members:?} do not run"));
        }
        None
    }

    /// Reads all items at each member.
    pub(super) fn read_everywhere(&mut self) {
        if self.checker.violation.is_some() {
            return;
        }
        let members: Vec<usize> = (0..self.machines.len()).filter(|n| self.is_member(*n)).collect();
        for n in members {
            let until = self.now + CALL_TIMEOUT_MS;
            let mut result = None;
            // Repeats an unanswered read, as operators do.
            while self.checker.violation.is_none() && result != Some(Ok(())) && self.now < until {
                let Some(id) = self.call(n, &ClientCall::Read) else { break };
                let open = |simulation: &Self| {
                    simulation.checker.calls.get(&id).is_some_and(|call| call.result.is_none())
                };
                while self.checker.violation.is_none() && open(self) && self.now < until {
                    self.advance(self.now + 50.0);
                }
                result = self.checker.calls.get(&id).and_then(|call| call.result);
                if result != Some(Ok(())) {
                    self.advance(self.now + 200.0);
                }
            }
            // A machine that did not respond may have lost its slot to another one, which takes part instead.
            let should_answer = self.is_member(n) || self.wait_for_recovery().is_some();
            if self.checker.violation.is_none() && result != Some(Ok(())) && should_answer {
                let now = self.now;
                self.checker.report_unavailable(
                    now,
                    format!("store {n} does not answer reads after all faults: {result:?}"),
                );
            }
        }
    }
}
