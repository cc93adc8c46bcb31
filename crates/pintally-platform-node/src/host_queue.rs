//! Inputs of the host that wait to be handled.

use std::collections::VecDeque;

use pintally::interface::Micros;
use pintally_host::{Command, Input};

/// Inputs of the host that wait to be handled.
#[derive(Default)]
pub(crate) struct HostQueue {
    inputs: VecDeque<Input>,
    /// Ends of abandoned attempts, by the time at which the host is notified, in order.
    delayed: VecDeque<(Micros, Input)>,
    /// A buffer for the host's commands.
    pub(crate) commands: Vec<Command>,
}

impl HostQueue {
    pub(crate) fn push(&mut self, input: Input) {
        self.inputs.push_back(input);
    }

    pub(crate) fn pop(&mut self) -> Option<Input> {
        self.inputs.pop_front()
    }

    /// Adds an input that the host gets at `at`; the times of successive inputs do not decrease.
    pub(crate) fn push_delayed(&mut self, at: Micros, input: Input) {
        self.delayed.push_back((at, input));
    }

    pub(crate) fn next_delayed_at(&self) -> Option<Micros> {
        self.delayed.front().map(|(at, _)| *at)
    }

    /// The next delayed input whose time has come.
    pub(crate) fn pop_delayed(&mut self, now: Micros) -> Option<Input> {
        self.delayed.pop_front_if(|(at, _)| *at <= now).map(|(_, input)| input)
    }
}
