//! Steps of a store in a simulation: its effects and the checks after each step.

use super::*;

impl Simulation<'_> {
    /// Adds an effect of a store to the digest.
    pub(super) fn digest_effect(&mut self, n: usize, effect: &Effect) {
        let Some(hasher) = &mut self.effect_hasher else { return };
        let text = match effect {
            Effect::Save => {
                let state = self.machines[n].store.as_ref().map(Store::state);
                let state =
                    state.map(|k| (k.incarnation, k.promised, k.chosen, &k.accepted, k.items.last_change()));
                serde_json::to_string(&state).unwrap_or_default()
            }
            Effect::Send { to, request, .. } => {
                format!("{to} {}", serde_json::to_string(request).unwrap_or_default())
            }
            Effect::Complete { command, result } => format!("{command} {}", adapter::encode_result(result)),
        };
        hasher.write(format!("{n} {:.3} {text}\n", self.now).as_bytes());
    }

    /// Executes the effects of a store. Returns whether the store still runs.
    pub(super) fn execute_effects(&mut self, n: usize) -> bool {
        self.steps += 1;
        let Some(store) = &mut self.machines[n].store else { return false };
        let effects = store.take_effects();
        for effect in effects {
            self.digest_effect(n, &effect);
            match effect {
                Effect::Save => {
                    let (now, store) = (self.now, self.machines[n].store.as_ref());
                    if let Some((ballot, items)) =
                        store.and_then(|store| adapter::own_proposal(n, store.state()))
                    {
                        self.checker.record_proposal(now, n, ballot, items);
                    }
                    if self.trigger_faults(n, Trigger::BeforeSave) {
                        return false;
                    }
                    let interrupted_save = self.interrupted_save(n);
                    if self.trigger_faults(n, Trigger::WithinSave) {
                        self.apply_interrupted_save(n, interrupted_save);
                        return false;
                    }
                    self.save(n);
                    if self.trigger_faults(n, Trigger::AfterSave) {
                        return false;
                    }
                }
                Effect::Send { to, number, request } => {
                    let is_accept = self.before_send(n, &request);
                    let receiver = machine_of(to);
                    let run = self.machines[n].run;
                    self.machines[n].outstanding.insert(number, receiver);
                    let body = Body::PeerRequest(request);
                    self.send(Message { from: n, to: receiver, run, number, sent_at: self.now, body });
                    if is_accept && self.trigger_faults(n, Trigger::SendsAccept) {
                        return false;
                    }
                }
                Effect::Complete { command, result } => {
                    self.record_answer(n, command, &result);
                    if self.trigger_faults(n, Trigger::AnswersCall) {
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
        let state = store.state().clone();
        if self.defect == Some(Defect::AnswerBeforeSave) {
            let run = self.machines[n].run;
            return self.schedule_step(self.now + 300.0, ScheduledStep::Save(n, run, Box::new(state)));
        }
        self.write_disk(n, state);
    }

    /// Returns the disk state after an interrupted save: either the new state, or the old one with the new items. The
    /// latter is less atomic than the real disk.
    pub(super) fn interrupted_save(&self, n: usize) -> Option<DurableState> {
        let machine = &self.machines[n];
        machine.armed_faults.iter().any(|(trigger, _)| *trigger == Trigger::WithinSave).then_some(())?;
        let now = machine.store.as_ref()?.state();
        let is_partial = seeded_rng(self.schedule.seed, (n, 2, machine.run), 7).bool();
        Some(if is_partial { adapter::partially_saved(&machine.disk, now) } else { now.clone() })
    }

    pub(super) fn apply_interrupted_save(&mut self, n: usize, interrupted_save: Option<DurableState>) {
        let Some(interrupted_save) = interrupted_save else { return };
        if adapter::incarnation(&interrupted_save) == adapter::incarnation(&self.machines[n].disk) {
            self.machines[n].disk = interrupted_save;
        }
    }

    pub(super) fn write_disk(&mut self, n: usize, state: DurableState) {
        let machine = &mut self.machines[n];
        if self.defect == Some(Defect::StaleSnapshot) {
            machine.snapshots.push_back(machine.disk.clone());
            if machine.snapshots.len() > MAX_SNAPSHOTS {
                machine.snapshots.pop_front();
            }
        }
        machine.disk = state;
    }

    pub(super) fn before_send(&mut self, n: usize, request: &PeerRequest) -> bool {
        let now = self.now;
        self.checker.check_chosen(now, &message_origin(n), adapter::chosen_in_request(request));
        if let (Some(ballot), Some(store)) = (adapter::announced_round(request), &self.machines[n].store) {
            self.checker.record_chosen(ballot, &store.state().items);
        }
        let Some((ballot, items)) = adapter::proposal(request) else { return false };
        self.checker.record_proposal(now, n, ballot, items);
        true
    }

    pub(super) fn record_answer(&mut self, n: usize, id: CommandId, result: &adapter::CommandResult) {
        // Logs only the kind of an error, since its message may name any of several items.
        let describe = result.as_ref().map_err(|error| error.kind);
        self.log_line(|| format!("store {n} answers call {id}: {describe:?}"));
        let Some(store) = &self.machines[n].store else { return };
        let now = self.now;
        let mut confirmation = result.as_ref().map(drop).map_err(Clone::clone);
        let request = self.checker.calls.get(&id).map(|call| call.request.clone());
        if let (Some(Defect::ResendRefused), true, Some(request)) =
            (self.defect, confirmation.is_ok(), &request)
        {
            let is_confirmed_repeat = |call: &crate::checker::CallRecord| {
                call.request == *request && matches!(call.result, Some(Ok(())))
            };
            let is_versioned = matches!(request, ClientCall::Put { .. } | ClientCall::Remove { .. });
            if is_versioned && self.checker.calls.values().any(is_confirmed_repeat) {
                confirmation =
                    Err(RpcError::new(ErrorKind::Conflict, "the version is older than the current one"));
            }
        }
        let read = result.as_ref().ok().and_then(adapter::read_items);
        self.checker.record_result(now, id, &confirmation, read, &store.state().items);
        if let (Ok(outcome), Some(ClientCall::AcquireRole { .. })) = (result, &request) {
            match adapter::acquired_epoch(outcome).filter(|_| self.defect != Some(Defect::EpochReadLate)) {
                Some(epoch) => self.checker.check_epoch(now, id, epoch),
                None => {
                    let run = self.machines[n].run;
                    let delay = 2.0 * seeded_rng(self.schedule.seed, (n, 0, id), 3).f64();
                    self.schedule_step(now + delay, ScheduledStep::Epoch(n, run, id));
                }
            }
        }
    }

    /// Checks the invariants after a step.
    pub(super) fn after_step(&mut self, n: usize) {
        let now = self.now;
        let Some(store) = &self.machines[n].store else { return };
        self.checker.check_step(now, n, store);
        if self.machines[n].counts_as_lost {
            let is_member = store.status() == MembershipStatus::Member;
            let has_everything = is_member && self.checker.has_all_acknowledged(&store.state().items);
            let machine = &mut self.machines[n];
            match (has_everything, machine.caught_up_since) {
                (true, None) => machine.caught_up_since = Some(now),
                (true, Some(since)) if now > since + CAUGHT_UP_TIME_MS => machine.counts_as_lost = false,
                (true, Some(_)) => {}
                // A newly acknowledged call may not have reached the machine yet.
                (false, _) if !is_member => machine.caught_up_since = None,
                (false, _) => {}
            }
        }
    }

    pub(super) fn tick(&mut self, n: usize) {
        let now = self.now;
        let Some(store) = &mut self.machines[n].store else { return };
        store.tick(Timestamp::from_millis(now));
        if !self.execute_effects(n) {
            return;
        }
        let Some(store) = &self.machines[n].store else { return };
        let members: Vec<usize> = store.members().into_iter().map(machine_of).collect();
        let mut age = adapter::contact_age_ms(store, now);
        if self.defect == Some(Defect::ContactByReading) && self.is_member(n) {
            let reading_age = |m: &usize| {
                if *m == n {
                    0.0
                } else {
                    self.reply_read_at.get(&(n, *m)).map_or(f64::INFINITY, |at| now - at)
                }
            };
            let mut ages: Vec<f64> = members.iter().map(reading_age).collect();
            ages.sort_unstable_by(f64::total_cmp);
            age = ages.get(members.len() / 2).copied().filter(|age| *age < 2_500.0);
        }
        self.checker.check_contact(now, n, &members, age);
        self.stop_if_left(n);
    }
}
