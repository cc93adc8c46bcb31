//! What happens when: single acts in order of time.

use std::collections::BTreeMap;
use std::time::Duration;

/// An engine by the name that it had at the day's beginning; whatever replaced it stands for it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Target(pub(crate) String);

/// One act.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    Crash(Target),
    Start(Target),
    Hang(Target, bool),
    Silent(Target, bool),
    Slow(Target, f64),
    SlowConnect(Target, Duration),
    Links(Target, f64),
    /// Whatever an engine takes on ends with an error after this time, or no more.
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
    /// A tenant sends this many times as much, all of it heedlessly, or no more.
    Flood(Option<(String, f64)>),
    /// A tenant's move takes its next step.
    Move(String, MoveStep),
    /// The file of cells as it was at a version is written for a node.
    WriteCells(usize, u64),
    /// The list as it is now is written for a node.
    Write(usize, u64),
    /// An engine dies without the list telling of it.
    PowerOff(Target),
    /// A node's process stands still, or goes on.
    Pause(usize, bool),
    /// Something is done to some links between nodes from now on, or not any more.
    Link(Pairs, Link, bool),
    /// A node that was killed is seen to be gone by the front, or seen to be back.
    Front(usize, bool),
}

/// Links between nodes, each from one to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pairs {
    /// All of them.
    All,
    /// Those between the first half of the nodes and the others, both ways.
    Across,
    /// Those from the first half to the others.
    OneWay,
    /// Those between the first two.
    Side,
}

impl Pairs {
    /// Whether the link from one node to another is one of them, among so many nodes.
    pub(crate) fn hold(self, nodes: usize, from: usize, to: usize) -> bool {
        let half = nodes / 2;
        match self {
            Pairs::All => from != to,
            Pairs::Across => (from < half) != (to < half),
            Pairs::OneWay => from < half && to >= half,
            Pairs::Side => from + to == 1,
        }
    }
}

/// How a link between two nodes is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Link {
    /// Nothing passes.
    pub(crate) cut: bool,
    /// What comes waits, and is delivered when this ends.
    pub(crate) stalled: bool,
    /// This share of the datagrams is lost, and as many are doubled.
    pub(crate) loss: f64,
}

/// A step of a tenant's move.
#[derive(Clone, Debug)]
pub(crate) enum MoveStep {
    Prepare { to: String, over: Duration },
    Both,
    Done,
}

/// Acts by time; those of the same time in the order in which they were added.
#[derive(Default)]
pub(crate) struct Script {
    acts: BTreeMap<(Duration, u64), Act>,
    serial: u64,
}

impl Script {
    pub(crate) fn add(&mut self, at: Duration, act: Act) {
        self.serial += 1;
        self.acts.insert((at, self.serial), act);
    }

    /// When the next act is due.
    pub(crate) fn next(&self) -> Option<Duration> {
        self.acts.keys().next().map(|k| k.0)
    }

    /// The next act that is due.
    pub(crate) fn pop(&mut self, now: Duration) -> Option<Act> {
        let entry = self.acts.first_entry().filter(|e| e.key().0 <= now)?;
        Some(entry.remove())
    }
}
