//! The level of service of a cell that has lost engines, and its recovery.
//!
//! The level falls at once, and rises one step at a time, only after the cell has been calm: a cell whose engines
//! come and go does not flap, and the classes that it sheds do not change all the time.

use pintally::interface::Micros;

/// Below this fraction of the needed engines a cell is constrained,
const MIN_NORMAL_CAPACITY: f64 = 0.75;
/// and below this one it sheds load.
const MIN_CONSTRAINED_CAPACITY: f64 = 0.4;
/// The level rises when the capacity has been above the threshold by this much,
const HYSTERESIS: f64 = 0.1;
/// for this long, in microseconds.
const CALM_TIME_MICROS: Micros = 5_000_000;
/// A cell whose engines' health scores add up to less than this fraction fails whatever it admits, and counts as
/// unavailable,
const MIN_WORKING_FRACTION: f64 = 0.15;
/// until they add up to this fraction again.
const MIN_RECOVERED_FRACTION: f64 = 0.5;
/// Time between two trial requests to a failing cell, in microseconds;
const TRIAL_INTERVAL_MICROS: Micros = 1_000_000;
/// each success halves it, down to this.
const MIN_TRIAL_INTERVAL_MICROS: Micros = 60_000;
/// A cell that sheds load and is not overloaded admits this fraction more of the requests each second;
const ADMISSION_INCREASE_PER_S: f64 = 0.1;
/// overloaded, it admits this fraction of them each second, down to the capacity of its engines.
const ADMISSION_DECREASE_PER_S: f64 = 0.5;
/// Weight of a new arrival in the moving averages of the classes.
const ARRIVAL_WEIGHT: f64 = 0.02;

/// The level of service of a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServiceLevel {
    /// It serves all requests.
    #[default]
    Normal,
    /// Tenants over their quota are rejected sooner.
    Constrained,
    /// Only the classes of the highest priority are admitted, as many as there are engines for.
    Shedding,
    /// It cannot serve: it has no engine of a role, or its engines fail.
    Unavailable,
}

impl ServiceLevel {
    /// The name in log lines and in the counters document, older than the variants' names.
    pub fn name(self) -> &'static str {
        match self {
            ServiceLevel::Normal => "Well",
            ServiceLevel::Constrained => "Thin",
            ServiceLevel::Shedding => "Shed",
            ServiceLevel::Unavailable => "Lost",
        }
    }

    /// The level of a cell with this fraction of the needed engines.
    fn of_capacity(capacity: f64) -> ServiceLevel {
        match capacity {
            capacity if capacity <= 0.0 => ServiceLevel::Unavailable,
            capacity if capacity < MIN_CONSTRAINED_CAPACITY => ServiceLevel::Shedding,
            capacity if capacity < MIN_NORMAL_CAPACITY => ServiceLevel::Constrained,
            _ => ServiceLevel::Normal,
        }
    }

    /// The next better level.
    fn raised(self) -> ServiceLevel {
        match self {
            ServiceLevel::Unavailable => ServiceLevel::Shedding,
            ServiceLevel::Shedding => ServiceLevel::Constrained,
            ServiceLevel::Constrained | ServiceLevel::Normal => ServiceLevel::Normal,
        }
    }
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
struct ClassArrivals {
    /// Its share of the arrivals, a moving average.
    share: f64,
    priority_weight: f64,
}

/// The level of service of one cell.
#[derive(Clone, Debug)]
pub struct CellHealth {
    level: ServiceLevel,
    capacity: f64,
    /// Since when the capacity has been enough for the next better level.
    calm_since: Option<Micros>,
    /// Whether it is unavailable because its engines fail, not because they are gone.
    failing: bool,
    /// When the next trial request may be admitted while it is failing.
    next_trial: Micros,
    trial_interval: Micros,
    /// The fraction of arrivals that it admits while it sheds load, and when that was last updated.
    admitted_fraction: f64,
    admission_updated: Micros,
    /// By the index of the class.
    classes: Vec<ClassArrivals>,
}

impl CellHealth {
    /// A cell at the normal level, for classes with these priority weights.
    pub fn new(priority_weights: impl Iterator<Item = f64>) -> CellHealth {
        let mut classes: Vec<ClassArrivals> =
            priority_weights.map(|priority_weight| ClassArrivals { share: 0.0, priority_weight }).collect();
        let equal_share = 1.0 / classes.len().max(1) as f64;
        classes.iter_mut().for_each(|class| class.share = equal_share);
        CellHealth {
            level: ServiceLevel::Normal,
            capacity: 1.0,
            calm_since: None,
            failing: false,
            next_trial: 0,
            trial_interval: TRIAL_INTERVAL_MICROS,
            admitted_fraction: 1.0,
            admission_updated: 0,
            classes,
        }
    }

    /// The level of service.
    pub fn level(&self) -> ServiceLevel {
        self.level
    }

    /// The fraction of the needed engines that it has.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// The fraction of its slots that it may use.
    pub fn usable_fraction(&self) -> f64 {
        match self.level {
            ServiceLevel::Normal => 1.0,
            ServiceLevel::Shedding => self.admitted_fraction,
            ServiceLevel::Constrained | ServiceLevel::Unavailable => self.capacity,
        }
    }

    /// Adapts the admitted fraction to whether the cell is overloaded. The engines that it has lost say what it
    /// could do when it was full; how much of the arrivals it can serve now shows only in whether it keeps up.
    /// Guards against a cell with spare capacity that rejects what it could serve.
    pub fn update_admission(&mut self, now: Micros, overloaded: bool) {
        let elapsed_s = now.saturating_sub(self.admission_updated) as f64 / 1e6;
        self.admission_updated = self.admission_updated.max(now);
        if self.level != ServiceLevel::Shedding {
            self.admitted_fraction = self.capacity;
        } else if overloaded {
            self.admitted_fraction *= ADMISSION_DECREASE_PER_S.powf(elapsed_s);
        } else {
            self.admitted_fraction += ADMISSION_INCREASE_PER_S * elapsed_s;
        }
        self.admitted_fraction = self.admitted_fraction.max(self.capacity).min(1.0);
    }

    /// Whether it is unavailable because its engines fail.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Whether a failing cell admits an idempotent request now, as a trial.
    pub fn admit_trial(&mut self, now: Micros) -> bool {
        let due = self.failing && now >= self.next_trial;
        if due {
            self.next_trial = now.saturating_add(self.trial_interval);
        }
        due
    }

    /// Records the outcome of an attempt in a failing cell.
    pub fn record_trial(&mut self, succeeded: bool) {
        if self.failing {
            self.trial_interval = if succeeded {
                (self.trial_interval / 2).max(MIN_TRIAL_INTERVAL_MICROS)
            } else {
                TRIAL_INTERVAL_MICROS
            };
        }
    }

    /// Updates the level by the fractions of the needed engines that are listed and that are healthy, and returns
    /// whether the level has changed.
    pub fn update(&mut self, now: Micros, listed: f64, healthy: f64) -> bool {
        self.capacity = listed.min(healthy).clamp(0.0, 1.0);
        let recovers = if self.failing { MIN_RECOVERED_FRACTION } else { MIN_WORKING_FRACTION };
        self.failing = listed > 0.0 && healthy < recovers;
        let target = self.level_of(self.capacity);
        if target < self.level {
            return self.try_raise(now, target);
        }
        let lowered = target > self.level;
        if lowered {
            self.admitted_fraction = self.capacity;
        }
        self.level = target;
        self.calm_since = None;
        lowered
    }

    fn level_of(&self, capacity: f64) -> ServiceLevel {
        if self.failing {
            ServiceLevel::Unavailable
        } else {
            ServiceLevel::of_capacity(capacity)
        }
    }

    /// Takes one step towards a better level, if it is time; whether it did.
    fn try_raise(&mut self, now: Micros, target: ServiceLevel) -> bool {
        // Being able to serve at all needs neither a margin nor a calm time.
        let was_unavailable = self.level == ServiceLevel::Unavailable;
        let safe_target = if was_unavailable { target } else { self.level_of(self.capacity - HYSTERESIS) };
        if safe_target >= self.level {
            self.calm_since = None;
            return false;
        }
        let since = *self.calm_since.get_or_insert(now);
        let calm_time = if was_unavailable { 0 } else { CALM_TIME_MICROS };
        if now < since.saturating_add(calm_time) {
            return false;
        }
        self.calm_since = Some(now);
        self.level = self.level.raised();
        true
    }

    /// Counts an arrival of a class, and returns whether the cell admits that class now.
    pub fn admits(&mut self, class: Option<usize>) -> bool {
        for (index, arrivals) in self.classes.iter_mut().enumerate() {
            let arrived = if Some(index) == class { 1.0 } else { 0.0 };
            arrivals.share += ARRIVAL_WEIGHT * (arrived - arrivals.share);
        }
        match self.level {
            ServiceLevel::Normal | ServiceLevel::Constrained => true,
            ServiceLevel::Unavailable => false,
            ServiceLevel::Shedding => class.is_some_and(|class| self.admits_while_shedding(class)),
        }
    }

    /// Whether the classes of higher priority leave some of the admitted fraction to this one.
    fn admits_while_shedding(&self, class: usize) -> bool {
        let Some(own) = self.classes.get(class) else { return false };
        let higher: f64 = self
            .classes
            .iter()
            .filter(|other| other.priority_weight > own.priority_weight)
            .map(|other| other.share)
            .sum();
        higher < self.admitted_fraction.max(self.capacity)
    }
}
