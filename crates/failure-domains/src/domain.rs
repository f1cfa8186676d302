//! One domain: what is believed of it, how much may go there, and when that changes.
//!
//! Called by [`crate::Domains`] alone.

use crate::evidence::{Evidence, Finding, Sign, ALARM, SUSPECT};
use crate::hearsay::{Hearsay, Voices};
use ivygate_gateway::ServerId;
use ivygate_time::{Millis, Timestamp};
use std::sync::Arc;

/// Part of the safe requests that still goes to a suspect domain: without any nothing more would be learned.
const SUSPECT_SAFE: f64 = 0.3;
/// A suspicion that nothing new speaks for ends after this.
const SUSPECT_LIFE: Millis = 2_000.0;
/// A domain that was left is tried again after this, at first; it doubles each time it fails again ...
const AWAY_FIRST: Millis = 1_000.0;
/// ... up to this.
const AWAY_LAST: Millis = 60_000.0;
/// Random part of such times, up and down: processes must not come back in step.
const JITTER: f64 = 0.25;
/// Requests a second that all processes together send to try a domain.
const TRIES: f64 = 20.0;
/// Good answers to such tries before the way back begins.
const TRIES_GOOD: u32 = 3;
/// A domain that this process has nothing to send to comes back after this without a try.
const PATIENCE: Millis = 5_000.0;
/// Part of a cold server's curve that the way back keeps to: work varies, and other processes may stand higher.
const CURVE: f64 = 0.75;
/// What is left of the way back after a bad sign on it, and how long it then stands still.
const STEP_BACK: f64 = 0.5;
const HOLD: Millis = 500.0;
/// A domain that is slow is left by this factor in each period, as far as the others bear it.
const MOVE: f64 = 0.5;
const MOVE_PERIOD: Millis = 500.0;
/// What stays with a slow domain all the same.
const MOVE_LEAST: f64 = 0.05;
/// A domain that is slow is left at this many times the score at which one that is lost is.
const SLOW_CAUTION: f64 = 1.5;
/// What bears another domain's load is believed to be lost only after this many bad signs and no good one, for a time.
const BEARING: u32 = 5;
const BEARING_TIME: Millis = 1_000.0;
/// Other processes that say so make a zone suspect; more than twice as many as say the contrary.
pub(crate) const VOICES_SUSPECT: u32 = 2;
const CONTRARY: u32 = 2;
/// Part of the processes heard of late that make it left, with no own sign; with one two thirds as many do.
const QUORUM: f64 = 0.3;
const QUORUM_LEAST: u32 = 3;
/// A zone that others have tried in vain just now is not tried for this long.
const TRIED_IN_VAIN: Millis = 300.0;
/// One that they find well again is tried within this, but not before it has been away for as long.
const FOUND_WELL: Millis = 400.0;
/// After this time without a fault earlier ones count no more.
const FORGIVEN: Millis = 60_000.0;

/// What is believed of a domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Degree {
    /// As ever.
    Well,
    /// A first sign: what may not run twice goes elsewhere.
    Suspect,
    /// Lost: nothing goes there.
    Left,
    /// Slow: what the others bear goes elsewhere.
    Leaving,
    /// A few safe requests go there to see whether it is back.
    Tried,
    /// On the way back: a growing part goes there.
    Returning,
    /// Taken out by hand.
    Works,
}

impl Degree {
    /// Its name in beliefs and logs.
    pub fn word(self) -> &'static str {
        match self {
            Degree::Well => "well",
            Degree::Suspect => "suspect",
            Degree::Left => "left",
            Degree::Leaving => "leaving",
            Degree::Tried => "tried",
            Degree::Returning => "returning",
            Degree::Works => "works",
        }
    }

    /// Whether it is judged bad, by signs and not by hand.
    pub fn judged_bad(self) -> bool {
        matches!(self, Degree::Left | Degree::Leaving | Degree::Tried)
    }
}

/// What is believed of a domain, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Belief {
    /// Its zone.
    pub zone: Arc<str>,
    /// The degree.
    pub degree: Degree,
    /// Since when, on the caller's clock.
    pub since: Timestamp,
    /// Part of the safe requests, and of the others, that may go there.
    pub shares: (f64, f64),
    /// What the last change rested on.
    pub because: Finding,
    /// What other processes said of it then.
    pub voices: Voices,
    /// How often it failed again on its way back, of late.
    pub failed_again: u32,
    /// Servers that take requests.
    pub servers: usize,
}

/// What all domains of a pool have in common.
#[derive(Clone, Debug)]
pub(crate) struct Common {
    /// Processes that share the servers.
    pub processes: u32,
    /// Capacity of a server at its start, as a part.
    pub cold_from: f64,
    /// It has all of it after this.
    pub warm: Millis,
}

/// What else a domain's next step depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Around {
    pub now: Timestamp,
    /// Whether domains are left by signs at all.
    pub automatic: bool,
    /// All signs of all domains are of one customer.
    pub lone: bool,
    /// Good and bad signs of the other domains, of late.
    pub others: (u32, u32),
    /// Processes that were heard of late.
    pub heard: usize,
    /// The other domains are under pressure: requests were refused for want of room.
    pub pressed: bool,
    /// Another domain is away, so that this one bears its load and may be slow for that.
    pub other_away: bool,
    /// Too much is judged bad for the judgement to be believed.
    pub distrusted: bool,
}

pub(crate) struct Domain {
    pub zone: Arc<str>,
    pub degree: Degree,
    pub evidence: Evidence,
    pub hearsay: Hearsay,
    /// Servers that take requests, and their weights together.
    pub servers: usize,
    pub weight: f64,
    since: Timestamp,
    /// Earliest next step.
    until: Timestamp,
    /// Part of the requests that may go there, on the way out of a slow domain and on the way back.
    level: f64,
    level_at: Timestamp,
    failed_again: u32,
    because: Finding,
    voices: Voices,
    jitter: fastrand::Rng,
}

impl Domain {
    pub fn new(zone: Arc<str>, now: Timestamp, seed: u64) -> Self {
        Self {
            zone,
            degree: Degree::Well,
            evidence: Evidence::default(),
            hearsay: Hearsay::default(),
            servers: 0,
            weight: 0.0,
            since: now,
            until: now,
            level: 1.0,
            level_at: now,
            failed_again: 0,
            because: Finding::default(),
            voices: Voices::default(),
            jitter: fastrand::Rng::with_seed(seed),
        }
    }

    fn jittered(&mut self, time: Millis) -> Millis {
        time * (1.0 + JITTER * (2.0 * self.jitter.f64() - 1.0))
    }

    fn turn(&mut self, now: Timestamp, degree: Degree, because: Finding) {
        (self.degree, self.since, self.because) = (degree, now, because);
        self.voices = self.hearsay.voices(now);
        (self.until, self.level_at) = (now, now);
        if degree != Degree::Suspect {
            self.evidence.clear();
        }
    }

    fn leave(&mut self, now: Timestamp, because: Finding, again: bool) {
        self.failed_again = if again { (self.failed_again + 1).min(16) } else { self.failed_again };
        self.turn(now, Degree::Left, because);
        let away = (AWAY_FIRST * f64::from(1u32 << self.failed_again)).min(AWAY_LAST);
        self.until = now.plus_millis(self.jittered(away));
    }

    /// Takes it out by hand, or begins the way back.
    pub fn handle_works(&mut self, now: Timestamp, works: bool) {
        match (works, self.degree == Degree::Works) {
            (true, false) => self.turn(now, Degree::Works, Finding::default()),
            (false, true) => self.turn(now, Degree::Tried, Finding::default()),
            _ => {}
        }
    }

    /// Takes in a sign.
    pub fn handle_sign(&mut self, now: Timestamp, number: u64, server: ServerId, customer: u64, sign: Sign) {
        if self.degree == Degree::Well {
            self.evidence.learn(sign);
        }
        self.evidence.handle_sign(now, number, server, customer, sign);
        if sign != Sign::Late {
            self.hearsay.handle_sign(now, number, sign == Sign::Good);
        }
    }

    /// What was called silent has been answered after all.
    pub fn handle_answer(&mut self, number: u64) {
        self.evidence.handle_answer(number);
        self.hearsay.take_back(number);
    }

    /// Whether other processes say that it fails, and enough of them to leave it. Own eyes weigh more.
    fn told(&self, around: &Around, found: &Finding) -> (bool, bool) {
        let voices = self.hearsay.voices(around.now);
        let (good, bad) = self.hearsay.own(around.now);
        let contradicted = good > 0 && bad == 0;
        let fails = around.automatic
            && !contradicted
            && voices.bad >= VOICES_SUSPECT
            && voices.bad > CONTRARY * voices.good;
        let quorum = ((QUORUM * around.heard as f64).ceil() as u32).max(QUORUM_LEAST);
        let quorum =
            if found.score >= SUSPECT / 2.0 { (2 * quorum).div_ceil(3).max(QUORUM_LEAST) } else { quorum };
        (fails, fails && voices.bad >= quorum && !around.other_away)
    }

    /// The next step, if one is due.
    pub fn step(&mut self, common: &Common, around: &Around) {
        let now = around.now;
        let found = self.evidence.finding(now, self.servers, around.lone, around.others);
        // What bears another's load may well be slow.
        let bears = || {
            let (good, bad) = self.evidence.since(now.minus_millis(BEARING_TIME));
            good == 0 && bad >= BEARING
        };
        let sure = !found.slow || found.score >= SLOW_CAUTION * ALARM;
        let alarm =
            found.alarm && sure && around.automatic && !around.distrusted && (!around.other_away || bears());
        let (told, quorum) = self.told(around, &found);
        if around.distrusted && self.degree != Degree::Works {
            // What was judged is not believed, and what it rested on neither.
            if self.degree != Degree::Well {
                self.turn(now, Degree::Well, found);
            }
            self.evidence.clear();
            return;
        }
        match self.degree {
            Degree::Works => {}
            Degree::Well | Degree::Suspect if alarm || quorum => {
                if found.slow && !quorum {
                    self.turn(now, Degree::Leaving, found);
                    self.level = MOVE;
                } else {
                    self.leave(now, found, false);
                }
            }
            Degree::Well => {
                if told || found.suspect && around.automatic && !found.slow {
                    self.turn(now, Degree::Suspect, found);
                } else if now > self.since.plus_millis(FORGIVEN) {
                    self.failed_again = 0;
                }
            }
            Degree::Suspect => {
                let nothing_new = now > self.since.plus_millis(SUSPECT_LIFE) && !found.suspect;
                if !told && (found.score < 1.0 || nothing_new) {
                    self.turn(now, Degree::Well, found);
                }
            }
            Degree::Leaving => {
                let (good, bad) = self.evidence.since(self.since.max(now.minus_millis(4.0 * MOVE_PERIOD)));
                if alarm && !found.slow {
                    self.leave(now, found, false);
                } else if now >= self.level_at.plus_millis(MOVE_PERIOD) {
                    let well = good + bad >= 4 && bad * 8 <= good || good + bad == 0;
                    if well && now > self.since.plus_millis(AWAY_FIRST) {
                        // Slow servers are not cold: the way back begins where it stands.
                        let level = self.level;
                        self.turn(now, Degree::Returning, found);
                        self.level = level;
                    } else {
                        let times = if around.pressed { 1.0 / MOVE } else { MOVE };
                        self.level = (self.level * times).clamp(MOVE_LEAST, 1.0);
                        self.level_at = now;
                    }
                }
            }
            Degree::Left => {
                let voices = self.hearsay.voices(now);
                if voices.good >= VOICES_SUSPECT
                    && voices.bad == 0
                    && now > self.since.plus_millis(FOUND_WELL)
                {
                    self.until = self.until.min(now.plus_millis(self.jitter.f64() * FOUND_WELL));
                }
                if now >= self.until {
                    if voices.bad > 0 && voices.good == 0 {
                        self.until = now.plus_millis(self.jittered(TRIED_IN_VAIN));
                    } else {
                        self.turn(now, Degree::Tried, self.because);
                    }
                }
            }
            Degree::Tried => {
                let (good, bad) = self.evidence.since(self.since);
                let failing = bad >= 2 || bad == 1 && good == 0;
                let voices = self.hearsay.voices(now);
                let good = if voices.bad == 0 { good + voices.good } else { good };
                if failing && around.automatic {
                    self.leave(now, found, true);
                } else if good >= TRIES_GOOD.min(1 + self.servers as u32)
                    || now > self.since.plus_millis(PATIENCE)
                {
                    self.turn(now, Degree::Returning, found);
                    self.level = CURVE * common.cold_from;
                }
            }
            Degree::Returning => {
                if alarm {
                    self.leave(now, found, true);
                } else if (found.suspect || told) && now >= self.until {
                    self.level = (self.level * STEP_BACK).max(CURVE * common.cold_from * STEP_BACK);
                    self.because = found;
                    self.evidence.clear();
                    self.until = now.plus_millis(self.jittered(HOLD));
                } else if now >= self.until {
                    let pace = CURVE * (1.0 - common.cold_from) / common.warm.max(1.0);
                    self.level += pace * now.millis_since(self.level_at.max(self.until)).max(0.0);
                    if self.level >= CURVE {
                        self.level = 1.0;
                        self.turn(now, Degree::Well, found);
                    }
                }
                self.level_at = now;
            }
        }
    }

    /// Part of the safe requests, of which so many a second come to this process, and of the others that may go there.
    pub fn shares(&self, common: &Common, safe_rate: f64) -> (f64, f64) {
        match self.degree {
            Degree::Works => (0.0, 0.0),
            Degree::Well => (1.0, 1.0),
            Degree::Suspect => (SUSPECT_SAFE, 0.0),
            Degree::Left => (0.0, 0.0),
            Degree::Tried => {
                let own = TRIES / f64::from(common.processes.max(1));
                ((own / safe_rate.max(own)).min(1.0), 0.0)
            }
            Degree::Leaving | Degree::Returning => (self.level, self.level),
        }
    }

    pub fn belief(&self, common: &Common, safe_rate: f64) -> Belief {
        Belief {
            zone: self.zone.clone(),
            degree: self.degree,
            since: self.since,
            shares: self.shares(common, safe_rate),
            because: self.because,
            voices: self.voices,
            failed_again: self.failed_again,
            servers: self.servers,
        }
    }
}
