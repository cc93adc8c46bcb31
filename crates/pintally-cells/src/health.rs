//! How a cell that has lost engines goes down, step by step, and comes up again.
//!
//! Down at once, up one step at a time and only after it has been calm: a cell whose engines come and
//! go does not flap, and what it sheds does not wander.

use pintally::interface::Micros;

/// Shares of what a cell is built for, under which it takes the next step down.
const THIN: f64 = 0.75;
const SHED: f64 = 0.4;
/// A cell goes up a step when it has been above that step's share by this much,
const MARGIN: f64 = 0.1;
/// for this long.
const CALM: Micros = 5_000_000;
/// A cell whose engines count for less than this fails whatever it takes on: it counts as lost,
const FAILING: f64 = 0.15;
/// until they count for this much again.
const RECOVERED: f64 = 0.5;
/// While it fails, one harmless request goes in so often, to see whether it still does;
const TRIAL_EVERY: Micros = 1_000_000;
/// each good end halves the time to the next, down to this.
const MIN_TRIAL: Micros = 60_000;
/// A cell that sheds and is not late opens to this much more of what comes each second;
const OPENS: f64 = 0.1;
/// late, it closes again by half each second, down to what its engines are.
const CLOSES: f64 = 0.5;
/// Weight of a new arrival in the shares of classes.
const BLEND: f64 = 0.02;

/// Where a cell stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// It serves everyone.
    #[default]
    Normal,
    /// Tenants over their part are turned away sooner.
    Constrained,
    /// Only the most worthy classes are served, as many as there are engines for.
    Shedding,
    /// It cannot serve: no engine reads, or none writes, or those that are there fail.
    Unavailable,
}

impl Level {
    /// The name in log lines, older than the variants' names.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Level::Normal => "Well",
            Level::Constrained => "Thin",
            Level::Shedding => "Shed",
            Level::Unavailable => "Lost",
        }
    }
}

/// One cell's way down and up.
#[derive(Clone, Debug)]
pub struct CellHealth {
    level: Level,
    capacity: f64,
    /// Since when its capacity has been enough for one step up.
    calm: Option<Micros>,
    /// It is lost because its engines fail, not because they are gone.
    failing: bool,
    /// When it may be tried again while it fails.
    trial: Micros,
    trial_every: Micros,
    /// The share of what arrives that it serves while it sheds, and when that was last looked at.
    open: f64,
    felt: Micros,
    /// Share of each class in what arrives, by its index, and what it is worth.
    classes: Vec<(f64, f64)>,
}

impl CellHealth {
    /// A ladder for classes worth so much each.
    pub fn new(worths: impl Iterator<Item = f64>) -> CellHealth {
        let classes: Vec<(f64, f64)> = worths.map(|w| (0.0, w)).collect();
        let even = 1.0 / classes.len().max(1) as f64;
        let classes = classes.into_iter().map(|(_, w)| (even, w)).collect();
        CellHealth {
            level: Level::Normal,
            capacity: 1.0,
            calm: None,
            failing: false,
            trial: 0,
            trial_every: TRIAL_EVERY,
            open: 1.0,
            felt: 0,
            classes,
        }
    }

    /// Where it stands.
    pub fn level(&self) -> Level {
        self.level
    }

    /// The share of its engines that it has.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// The share of its places that it may use.
    pub fn share(&self) -> f64 {
        match self.level {
            Level::Normal => 1.0,
            Level::Shedding => self.open,
            _ => self.capacity,
        }
    }

    /// Takes in whether the cell is late. How many engines it has lost says what it could do when it
    /// was full; how much of what comes it can do now shows only in whether it keeps up. Guards
    /// against a cell with room to spare that turns away what it could serve.
    pub fn feel(&mut self, now: Micros, late: bool) {
        let passed = now.saturating_sub(self.felt) as f64 / 1e6;
        self.felt = self.felt.max(now);
        if self.level != Level::Shedding {
            self.open = self.capacity;
        } else if late {
            self.open *= CLOSES.powf(passed);
        } else {
            self.open += OPENS * passed;
        }
        self.open = self.open.max(self.capacity).min(1.0);
    }

    /// Whether it is lost because its engines fail.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Whether a harmless request may go into a failing cell now, to see whether it still fails.
    pub fn trial(&mut self, now: Micros) -> bool {
        let due = self.failing && now >= self.trial;
        if due {
            self.trial = now.saturating_add(self.trial_every);
        }
        due
    }

    /// An attempt has ended in a cell that fails.
    pub fn tried(&mut self, good: bool) {
        if self.failing {
            self.trial_every = if good { (self.trial_every / 2).max(MIN_TRIAL) } else { TRIAL_EVERY };
        }
    }

    /// Takes in what share of its engines a cell has, the scarcer role's: by the list, and by how far
    /// they can be counted on. Returns whether the level has changed.
    pub fn update(&mut self, now: Micros, listed: f64, counted: f64) -> bool {
        self.capacity = listed.min(counted).clamp(0.0, 1.0);
        let bad = if self.failing { RECOVERED } else { FAILING };
        self.failing = listed > 0.0 && counted < bad && (self.failing || counted < FAILING);
        let failing = self.failing;
        let fits = |capacity: f64| match capacity {
            c if c <= 0.0 || failing => Level::Unavailable,
            c if c < SHED => Level::Shedding,
            c if c < THIN => Level::Constrained,
            _ => Level::Normal,
        };
        let wanted = fits(self.capacity);
        if wanted >= self.level {
            let changed = wanted > self.level;
            if changed {
                self.open = self.capacity;
            }
            self.level = wanted;
            self.calm = None;
            return changed;
        }
        // A step up needs some more than its share; being able to serve at all needs no margin.
        let careful = if self.level == Level::Unavailable { wanted } else { fits(self.capacity - MARGIN) };
        if careful >= self.level {
            self.calm = None;
            return false;
        }
        let since = *self.calm.get_or_insert(now);
        let wait = if self.level == Level::Unavailable { 0 } else { CALM };
        if now < since.saturating_add(wait) {
            return false;
        }
        self.calm = Some(now);
        self.level = match self.level {
            Level::Unavailable => Level::Shedding,
            Level::Shedding => Level::Constrained,
            _ => Level::Normal,
        };
        true
    }

    /// Takes in an arrival of a class, and says whether the cell serves that class now.
    pub fn serves(&mut self, class: Option<usize>) -> bool {
        for (index, (share, _)) in self.classes.iter_mut().enumerate() {
            let came = if Some(index) == class { 1.0 } else { 0.0 };
            *share += BLEND * (came - *share);
        }
        match self.level {
            Level::Normal | Level::Constrained => true,
            Level::Unavailable => false,
            // The most worthy first, until what they bring is what the engines left can do.
            Level::Shedding => {
                let Some(&(_, worth)) = class.and_then(|c| self.classes.get(c)) else { return false };
                let above: f64 = self.classes.iter().filter(|(_, w)| *w > worth).map(|(s, _)| s).sum();
                above < self.open.max(self.capacity)
            }
        }
    }
}
