//! Who is let in while the fleet is cold: by rate, the most worthy first, the others told when to come
//! back so that they do not return in one wave.

use pintally::interface::Micros;

use crate::settings::ClassPriority;

/// What fits into the bucket, in seconds of its rate; never less than one request.
const BURST_S: f64 = 0.25;
/// The share of the bucket that the least worthy class leaves to the others.
const RESERVE: f64 = 0.5;
/// Nobody is told to come back sooner.
const SOONEST: Micros = 100_000;

/// What the gate goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionPlan {
    /// Requests a second; none means that everybody is let in.
    pub max_rate: Option<f64>,
    /// Whether requests that must never run twice are let in.
    pub once: bool,
}

/// What becomes of a request at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It goes on.
    Admit,
    /// It is refused; the time after which it may come back, where clients heed one.
    Reject(Option<Micros>),
}

/// The gate.
#[derive(Clone, Debug)]
pub struct Gate {
    plan: AdmissionPlan,
    /// For each class the share of the bucket that it leaves to worthier ones.
    reserves: Vec<f64>,
    once: Vec<bool>,
    retry_most: Micros,
    level: f64,
    at: Micros,
    /// The time that was last promised to somebody.
    promised: Micros,
    /// Let in, refused with a time, refused without one.
    pub(crate) counts: (u64, u64, u64),
}

impl Gate {
    /// A gate that lets nobody in before its first plan.
    pub fn new(classes: &[ClassPriority], retry_most: Micros) -> Gate {
        let worthier = |c: &ClassPriority| {
            classes.iter().filter(|o| o.priority_weight > c.priority_weight).count() as f64
        };
        let most = classes.iter().map(worthier).fold(0.0, f64::max);
        let reserve = |c: &ClassPriority| if most > 0.0 { RESERVE * worthier(c) / most } else { 0.0 };
        Gate {
            plan: AdmissionPlan { max_rate: Some(0.0), once: false },
            reserves: classes.iter().map(reserve).collect(),
            once: classes.iter().map(|c| c.at_most_once).collect(),
            retry_most,
            level: 0.0,
            at: 0,
            promised: 0,
            counts: (0, 0, 0),
        }
    }

    /// What it goes by.
    pub fn plan(&self) -> AdmissionPlan {
        self.plan
    }

    /// Goes by another plan from now on.
    pub fn set(&mut self, now: Micros, plan: AdmissionPlan) {
        self.fill(now);
        // The bucket stays as full as it was; the first one is full.
        let before = self.plan.max_rate.unwrap_or(0.0);
        let part = if before > 0.0 { self.level / burst(before) } else { 1.0 };
        self.plan = plan;
        self.level = part.min(1.0) * burst(plan.max_rate.unwrap_or(0.0));
    }

    fn fill(&mut self, now: Micros) {
        let span = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = self.at.max(now);
        if let Some(rate) = self.plan.max_rate {
            self.level = (self.level + span * rate).min(burst(rate));
        }
    }

    /// Whether a request of a class is let in; a class that nobody named counts as one that must never
    /// run twice and is worth least.
    pub fn ask(&mut self, now: Micros, class: Option<usize>) -> Admission {
        let Some(rate) = self.plan.max_rate else {
            self.counts.0 += 1;
            return Admission::Admit;
        };
        self.fill(now);
        let once = class.and_then(|c| self.once.get(c).copied()).unwrap_or(true);
        let reserve = class.and_then(|c| self.reserves.get(c).copied()).unwrap_or(RESERVE);
        let need = 1.0 + reserve * (burst(rate) - 1.0).max(0.0);
        if (!once || self.plan.once) && self.level >= need {
            self.level -= 1.0;
            self.counts.0 += 1;
            return Admission::Admit;
        }
        Admission::Reject(self.promise(now, rate))
    }

    /// A time to come back: one after the other, as fast as they can be let in.
    fn promise(&mut self, now: Micros, rate: f64) -> Option<Micros> {
        if self.retry_most == 0 {
            self.counts.2 += 1;
            return None;
        }
        self.counts.1 += 1;
        let gap = if rate > 0.0 { (1e6 / rate) as Micros } else { SOONEST };
        // Once the longest time has been promised to all, they begin again half way down: later ones
        // share the time with earlier ones rather than pile up at its end.
        let last = now + self.retry_most;
        let next =
            self.promised.max(now + SOONEST.min(self.retry_most)).saturating_add(gap.min(self.retry_most));
        self.promised = if next > last { now + self.retry_most / 2 } else { next };
        Some(self.promised - now)
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_S).max(1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    const CLASSES: [ClassPriority; 3] = [
        ClassPriority { priority_weight: 2.0, at_most_once: false },
        ClassPriority { priority_weight: 1.0, at_most_once: false },
        ClassPriority { priority_weight: 3.0, at_most_once: true },
    ];

    fn let_in(gate: &mut Gate, from: Micros, seconds: u64, class: usize, per_s: u64) -> u64 {
        let mut admitted = 0;
        for n in 0..seconds * per_s {
            let now = from + n * 1_000_000 / per_s;
            admitted += u64::from(gate.ask(now, Some(class)) == Admission::Admit);
        }
        admitted
    }

    #[test]
    fn no_more_than_the_rate_and_a_burst_come_through() {
        let mut gate = Gate::new(&CLASSES, 2_000_000);
        gate.set(0, AdmissionPlan { max_rate: Some(20.0), once: true });
        let admitted = let_in(&mut gate, 0, 10, 0, 500);
        assert!((200..=206).contains(&admitted), "{admitted}");
    }

    #[test]
    fn the_worthy_go_first() {
        let mut gate = Gate::new(&CLASSES, 2_000_000);
        gate.set(0, AdmissionPlan { max_rate: Some(40.0), once: true });
        let (mut low, mut high) = (0, 0);
        for n in 0..10_000u64 {
            let now = n * 1000;
            high += u64::from(n % 20 == 0 && gate.ask(now, Some(2)) == Admission::Admit);
            low += u64::from(gate.ask(now, Some(1)) == Admission::Admit);
        }
        // 50 worthy ones a second are offered, 40 fit; the others take next to nothing from them.
        assert!(high > 350, "{high} worthy of 500 offered, {low} others");
        assert!(low < 60, "{low}");
    }

    #[test]
    fn what_must_not_run_twice_waits_for_a_sound_list() {
        let mut gate = Gate::new(&CLASSES, 2_000_000);
        gate.set(0, AdmissionPlan { max_rate: Some(1000.0), once: false });
        assert!(matches!(gate.ask(1, Some(2)), Admission::Reject(Some(_))));
        assert!(matches!(gate.ask(1, None), Admission::Reject(Some(_))));
        assert_eq!(gate.ask(1, Some(0)), Admission::Admit);
        gate.set(2, AdmissionPlan { max_rate: Some(1000.0), once: true });
        assert_eq!(gate.ask(3, Some(2)), Admission::Admit);
    }

    /// Guards against a wave: 2,000 clients that are refused within a second come back over all of the
    /// time that they heed, no tenth of it getting more than three times its even part.
    #[test]
    fn the_refused_do_not_return_in_one_wave() {
        let mut gate = Gate::new(&CLASSES, 4_000_000);
        gate.set(0, AdmissionPlan { max_rate: Some(300.0), once: true });
        let mut back = [0u32; 60];
        for n in 0..2000u64 {
            let now = n * 500;
            if let Admission::Reject(Some(after)) = gate.ask(now, Some(1)) {
                assert!((100_000..=4_000_000).contains(&after), "{after}");
                back[((now + after) / 100_000) as usize] += 1;
            }
        }
        let all: u32 = back.iter().sum();
        let most = *back.iter().max().unwrap();
        assert!(all > 1500 && most < all / 10, "{most} of {all} in a tenth of a second: {back:?}");
    }

    #[test]
    fn an_open_gate_lets_everybody_in() {
        let mut gate = Gate::new(&CLASSES, 0);
        assert_eq!(gate.ask(0, Some(0)), Admission::Reject(None));
        gate.set(1, AdmissionPlan { max_rate: None, once: true });
        assert!((0..1000).all(|n| gate.ask(n, None) == Admission::Admit));
    }
}
