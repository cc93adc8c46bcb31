//! The level of service of a cell that has lost engines, and its recovery.
//!
//! The level falls at once, but rises one step at a time and only after the capacity has been sufficient for a while.
//! This keeps the level, and the set of classes that are shed, from flapping when engines come and go.

use pintally::interface::Micros;

/// A cell with less than this fraction of its required engines is constrained.
const MIN_NORMAL_CAPACITY: f64 = 0.75;
/// A cell with less than this fraction of its required engines sheds load.
const MIN_CONSTRAINED_CAPACITY: f64 = 0.4;
/// The level rises only when the capacity exceeds the threshold by this much, and has done so for
/// [`STABLE_TIME_MICROS`].
const CAPACITY_HYSTERESIS: f64 = 0.1;
/// How long the capacity must be sufficient before the level rises, in microseconds.
const STABLE_TIME_MICROS: Micros = 5_000_000;
/// A cell is failing, and therefore unavailable, if the health scores of its engines add up to less than this fraction
/// of the required engines: it would fail nearly all requests that it admits.
const MIN_WORKING_FRACTION: f64 = 0.15;
/// A failing cell recovers when the health scores add up to this fraction.
const MIN_RECOVERED_FRACTION: f64 = 0.5;
/// Time between two trial requests to a failing cell, in microseconds.
const TRIAL_INTERVAL_MICROS: Micros = 1_000_000;
/// Each successful attempt halves the time between trial requests, down to this minimum.
const MIN_TRIAL_INTERVAL_MICROS: Micros = 60_000;
/// The admitted fraction of a cell that sheds load grows by this much each second while the cell is not overloaded.
const ADMISSION_INCREASE_PER_S: f64 = 0.1;
/// While the cell is overloaded, the admitted fraction is multiplied by this factor each second, down to the fraction
/// of the required engines that the cell has.
const ADMISSION_FACTOR_PER_S: f64 = 0.5;
/// Weight of a new arrival in the moving averages of the classes.
const ARRIVAL_WEIGHT: f64 = 0.02;

/// The level of service of a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServiceLevel {
    /// It serves all requests.
    #[default]
    Normal,
    /// It has lost engines and may use only a part of its slots, so that tenants over their part are rejected sooner.
    Constrained,
    /// Only the classes of the highest priority are admitted, as far as the engines suffice.
    Shedding,
    /// It cannot serve: it has no engine of a role, or its engines fail.
    Unavailable,
}

impl ServiceLevel {
    /// The name in log lines and in the counters document. It differs from the variant's name for compatibility.
    pub fn name(self) -> &'static str {
        match self {
            ServiceLevel::Normal => "Well",
            ServiceLevel::Constrained => "Thin",
            ServiceLevel::Shedding => "Shed",
            ServiceLevel::Unavailable => "Lost",
        }
    }

    /// The level of a cell with this fraction of its required engines.
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

/// The arrivals of a class of requests.
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
    /// Since when the capacity has been sufficient for the next better level.
    stable_since: Option<Micros>,
    /// Whether it is unavailable because its engines fail, not because they are gone.
    failing: bool,
    /// When the next trial request may be admitted while it is failing.
    next_trial: Micros,
    trial_interval: Micros,
    /// The fraction of arrivals that the cell admits while it sheds load, and when that was last updated.
    admitted_fraction: f64,
    admission_updated: Micros,
    /// The classes by their index.
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
            stable_since: None,
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

    /// The fraction of the required engines that it has, counted by their health scores if that is less.
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

    /// Adapts the admitted fraction to whether the cell is overloaded. The fraction of engines that are left limits
    /// what the cell can serve compared with its full load. How much of the current arrivals it can serve shows only
    /// in whether it keeps up. Guards against a cell with spare capacity that rejects requests that it could serve.
    pub fn update_admission(&mut self, now: Micros, overloaded: bool) {
        let elapsed_s = now.saturating_sub(self.admission_updated) as f64 / 1e6;
        self.admission_updated = self.admission_updated.max(now);
        if self.level != ServiceLevel::Shedding {
            self.admitted_fraction = self.capacity;
        } else if overloaded {
            self.admitted_fraction *= ADMISSION_FACTOR_PER_S.powf(elapsed_s);
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

    /// Updates the level by the fractions of the required engines that are listed and that are healthy, and returns
    /// whether the level has changed.
    pub fn update(&mut self, now: Micros, listed: f64, healthy: f64) -> bool {
        self.capacity = listed.min(healthy).clamp(0.0, 1.0);
        let min_healthy = if self.failing { MIN_RECOVERED_FRACTION } else { MIN_WORKING_FRACTION };
        self.failing = listed > 0.0 && healthy < min_healthy;
        let target = self.level_of(self.capacity);
        if target < self.level {
            return self.try_raise(now, target);
        }
        let lowered = target > self.level;
        if lowered {
            self.admitted_fraction = self.capacity;
        }
        self.level = target;
        self.stable_since = None;
        lowered
    }

    fn level_of(&self, capacity: f64) -> ServiceLevel {
        if self.failing {
            ServiceLevel::Unavailable
        } else {
            ServiceLevel::of_capacity(capacity)
        }
    }

    /// Raises the level by one step towards `target` if the conditions for it hold, and returns whether it did.
    fn try_raise(&mut self, now: Micros, target: ServiceLevel) -> bool {
        // A cell that is able to serve again leaves `Unavailable` at once, without margin and without delay.
        let was_unavailable = self.level == ServiceLevel::Unavailable;
        let safe_target =
            if was_unavailable { target } else { self.level_of(self.capacity - CAPACITY_HYSTERESIS) };
        if safe_target >= self.level {
            self.stable_since = None;
            return false;
        }
        let since = *self.stable_since.get_or_insert(now);
        let stable_time = if was_unavailable { 0 } else { STABLE_TIME_MICROS };
        if now < since.saturating_add(stable_time) {
            return false;
        }
        self.stable_since = Some(now);
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

    /// Whether the classes of higher priority use less than the admitted fraction, so that this one is admitted.
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
