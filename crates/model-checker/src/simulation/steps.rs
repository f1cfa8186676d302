//! Steps of a store in a simulation: its effects, and what is checked after each.

use super::*;

impl Simulation<'_> {
    /// Adds an output of a store to the digest.
    pub(super) fn recorded(&mut self, n: usize, output: &Effect) {
        let Some(record) = &mut self.record else { return };
        let text = match output {
            Effect::Save => {
                let kept = self.machines[n].store.as_ref().map(Store::state);
                let kept =
                    kept.map(|k| (k.incarnation, k.promised, k.chosen, &k.accepted, k.items.last_change()));
                serde_json::to_string(&kept).unwrap_or_default()
            }
            Effect::Send { to, request: ask, .. } => {
                format!("{to} {}", serde_json::to_string(ask).unwrap_or_default())
            }
            Effect::Complete { command: call, result } => format!("{call} {}", adapter::spelled(result)),
        };
        record.write(format!("{n} {:.3} {text}\n", self.now).as_bytes());
    }

    /// Carries out what a store wants; tells whether it still runs.
    pub(super) fn carry_out(&mut self, n: usize) -> bool {
        self.steps += 1;
        let Some(store) = &mut self.machines[n].store else { return false };
        let outputs = store.take_effects();
        for output in outputs {
            self.recorded(n, &output);
            match output {
                Effect::Save => {
                    let (now, store) = (self.now, self.machines[n].store.as_ref());
                    if let Some((ballot, items)) =
                        store.and_then(|store| adapter::own_proposal(n, store.state()))
                    {
                        self.checker.note_proposal(now, n, ballot, items);
                    }
                    if self.fires(n, Trigger::BeforeSave) {
                        return false;
                    }
                    let torn = self.torn(n);
                    if self.fires(n, Trigger::WithinSave) {
                        self.tear(n, torn);
                        return false;
                    }
                    self.save(n);
                    if self.fires(n, Trigger::AfterSave) {
                        return false;
                    }
                }
                Effect::Send { to, number, request: ask } => {
                    let writes = self.before_send(n, &ask);
                    let machine_to = machine(to);
                    let run = self.machines[n].run;
                    self.machines[n].out.insert(number, machine_to);
                    let body = Body::PeerRequest(ask);
                    self.send(Message { from: n, to: machine_to, run, number, asked: self.now, body });
                    if writes && self.fires(n, Trigger::Writes) {
                        return false;
                    }
                }
                Effect::Complete { command: call, result } => {
                    self.answer(n, call, &result);
                    if self.fires(n, Trigger::Answers) {
                        return false;
                    }
                }
            }
        }
        self.after_step(n);
        true
    }

    pub(super) fn save(&mut self, n: usize) {
        let Some(store) = &self.machines[n].store else { return };
        let kept = store.state().clone();
        if self.defect == Some(Defect::AnswerBeforeSave) {
            let run = self.machines[n].run;
            return self.at(self.now + 300.0, ScheduledStep::Save(n, run, Box::new(kept)));
        }
        self.put(n, kept);
    }

    /// What a save leaves that is cut short: the new disk, or the old one with the new items, which is more than the
    /// program's disk allows.
    pub(super) fn torn(&self, n: usize) -> Option<DurableState> {
        let machine = &self.machines[n];
        machine.armed_faults.iter().any(|(trigger, _)| *trigger == Trigger::WithinSave).then_some(())?;
        let now = machine.store.as_ref()?.state();
        let torn = drawn(self.schedule.seed, (n, 2, machine.run), 7).bool();
        Some(if torn { adapter::torn(&machine.disk, now) } else { now.clone() })
    }

    pub(super) fn tear(&mut self, n: usize, torn: Option<DurableState>) {
        let Some(torn) = torn else { return };
        if adapter::incarnation(&torn) == adapter::incarnation(&self.machines[n].disk) {
            self.machines[n].disk = torn;
        }
    }

    pub(super) fn put(&mut self, n: usize, kept: DurableState) {
        let machine = &mut self.machines[n];
        if self.defect == Some(Defect::StaleSnapshot) {
            machine.snapshots.push_back(machine.disk.clone());
            if machine.snapshots.len() > MAX_SNAPSHOTS {
                machine.snapshots.pop_front();
            }
        }
        machine.disk = kept;
    }

    pub(super) fn before_send(&mut self, n: usize, ask: &PeerRequest) -> bool {
        let now = self.now;
        self.checker.check_chosen(now, &place_name(n), adapter::chosen_in_request(ask));
        if let (Some(ballot), Some(store)) = (adapter::chosen_round(ask), &self.machines[n].store) {
            self.checker.note_chosen(ballot, &store.state().items);
        }
        let Some((ballot, items)) = adapter::proposal(ask) else { return false };
        self.checker.note_proposal(now, n, ballot, items);
        true
    }

    pub(super) fn answer(&mut self, n: usize, id: CommandId, result: &adapter::Result) {
        // Of a fault only its kind: which of several items its text names is left to chance.
        let describe = result.as_ref().map_err(|fault| fault.kind);
        self.tell(|| format!("store {n} answers call {id}: {describe:?}"));
        let Some(store) = &self.machines[n].store else { return };
        let now = self.now;
        let mut confirmation = result.as_ref().map(drop).map_err(Clone::clone);
        let operation = self.checker.calls.get(&id).map(|call| call.op.clone());
        if let (Some(Defect::ResendRefused), true, Some(op)) = (self.defect, confirmation.is_ok(), &operation)
        {
            let taken = |call: &&crate::checker::CallRecord| {
                call.op == *op && matches!(call.confirmation, Some(Ok(())))
            };
            let numbered = matches!(op, ClientCall::Put { .. } | ClientCall::Remove { .. });
            if numbered && self.checker.calls.values().any(|call| taken(&call)) {
                confirmation = Err(RpcError::new(ErrorKind::Conflict, "it is older than what stands"));
            }
        }
        let read = result.as_ref().ok().and_then(adapter::read);
        self.checker.answered(now, id, &confirmation, read, &store.state().items);
        if let (Ok(done), Some(ClientCall::Duty { .. })) = (result, &operation) {
            match adapter::epoch(done).filter(|_| self.defect != Some(Defect::EpochReadLate)) {
                Some(epoch) => self.checker.check_epoch(now, id, epoch),
                None => {
                    let run = self.machines[n].run;
                    let later = 2.0 * drawn(self.schedule.seed, (n, 0, id), 3).f64();
                    self.at(now + later, ScheduledStep::Epoch(n, run, id));
                }
            }
        }
    }

    /// After each step.
    pub(super) fn after_step(&mut self, n: usize) {
        let now = self.now;
        let Some(store) = &self.machines[n].store else { return };
        self.checker.check_step(now, n, store);
        if self.machines[n].lost {
            let is_member = store.status() == MembershipStatus::Member;
            let whole = is_member && self.checker.holds_all(&store.state().items);
            let machine = &mut self.machines[n];
            match (whole, machine.caught_up) {
                (true, None) => machine.caught_up = Some(now),
                (true, Some(since)) if now > since + CAUGHT_UP_TIME_MS => machine.lost = false,
                (true, Some(_)) => {}
                // A new call may have been acknowledged that is still on its way to it.
                (false, _) if !is_member => machine.caught_up = None,
                (false, _) => {}
            }
        }
    }

    pub(super) fn tick(&mut self, n: usize) {
        let now = self.now;
        let Some(store) = &mut self.machines[n].store else { return };
        store.tick(Timestamp::from_millis(now));
        if !self.carry_out(n) {
            return;
        }
        let Some(store) = &self.machines[n].store else { return };
        let members: Vec<usize> = store.members().into_iter().map(machine).collect();
        let mut age = adapter::contact(store, now);
        if self.defect == Some(Defect::ContactByReading) && self.is_member(n) {
            let heard = |m: &usize| {
                if *m == n {
                    0.0
                } else {
                    self.read.get(&(n, *m)).map_or(f64::INFINITY, |at| now - at)
                }
            };
            let mut ages: Vec<f64> = members.iter().map(heard).collect();
            ages.sort_unstable_by(f64::total_cmp);
            age = ages.get(members.len() / 2).copied().filter(|age| *age < 2_500.0);
        }
        self.checker.check_contact(now, n, &members, age);
        self.left(n);
    }
}
