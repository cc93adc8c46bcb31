//! The script of a run: actions in order of time.

use std::collections::BTreeMap;
use std::time::Duration;

/// An engine by its id at the start of the run; the name then refers to any engine that replaces it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Target(pub(crate) String);

/// One action. Its `Debug` text is logged.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Crash(Target),
    Start(Target),
    Hang(Target, bool),
    Silent(Target, bool),
    Slow(Target, f64),
    SlowConnect(Target, Duration),
    Links(Target, f64),
    /// Every request at an engine ends with an error after this time; `None` ends the fault.
    FailAfter(Target, Option<Duration>),
    Stale(Target, bool),
    Lie(Target, bool),
    FullFor(Target, Option<String>),
    Forget(Target),
    Drain(Target),
    Undrain(Target),
    Replace(Target),
    Remove(Target),
    Cut(String, bool),
    ListDelay(Duration),
    KillNode(usize),
    StartNode(usize),
    Heedless(bool),
    LeaveEarly(f64),
    Rate(f64),
    HotText(f64),
    /// A tenant sends this many times its usual rate, ignoring retry-after times; `None` ends the flood.
    Flood(Option<(String, f64)>),
    /// A tenant's move advances to its next step.
    Move(String, MoveStep),
    /// Writes a version of the cells file for a node.
    WriteCells(usize, u64),
    /// Writes a version of the endpoint list for a node.
    Write(usize, u64),
    /// An engine crashes without an update of the endpoint list.
    PowerOff(Target),
    /// Pauses or resumes a node's process.
    Pause(usize, bool),
    /// Activates or ends a fault on a set of links between nodes.
    Link(LinkSet, Link, bool),
    /// The front layer notices that a killed node is down, or that it is up again.
    Front(usize, bool),
}

/// A set of directed links between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkSet {
    /// All links.
    All,
    /// Links between the first half of the nodes and the others, in both directions.
    Across,
    /// Links from the first half of the nodes to the others.
    OneWay,
    /// Links between the first two nodes, in both directions.
    Side,
}

impl LinkSet {
    /// Whether the set contains the link from one node to another, given the number of nodes.
    pub(crate) fn contains(self, nodes: usize, from: usize, to: usize) -> bool {
        let half = nodes / 2;
        match self {
            LinkSet::All => from != to,
            LinkSet::Across => (from < half) != (to < half),
            LinkSet::OneWay => from < half && to >= half,
            LinkSet::Side => from + to == 1,
        }
    }
}

/// Faults of a link between two nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Link {
    /// Nothing passes; datagrams are dropped.
    pub(crate) cut: bool,
    /// Datagrams are held back and delivered when the fault ends.
    pub(crate) stalled: bool,
    /// Share of the datagrams that is lost; of the others the same share is duplicated.
    pub(crate) loss: f64,
}

/// A step of a tenant's move between cells.
#[derive(Clone, Debug)]
pub(crate) enum MoveStep {
    Prepare { to: String, over: Duration },
    Both,
    Done,
}

/// Actions by time; actions due at the same time keep the order in which they were added.
#[derive(Default)]
pub(crate) struct Script {
    actions: BTreeMap<(Duration, u64), Action>,
    serial: u64,
}

impl Script {
    pub(crate) fn add(&mut self, at: Duration, action: Action) {
        self.serial += 1;
        self.actions.insert((at, self.serial), action);
    }

    /// When the next action is due.
    pub(crate) fn next(&self) -> Option<Duration> {
        self.actions.keys().next().map(|k| k.0)
    }

    /// Removes and returns the next action that is due.
    pub(crate) fn pop(&mut self, now: Duration) -> Option<Action> {
        let entry = self.actions.first_entry().filter(|e| e.key().0 <= now)?;
        Some(entry.remove())
    }
}
