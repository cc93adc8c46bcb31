//! Queue of inputs to the host.

use std::collections::VecDeque;

use pintally::interface::Micros;
use pintally_host::{Command, Input};

/// Inputs that wait to be passed to the host.
#[derive(Default)]
pub(crate) struct HostQueue {
    inputs: VecDeque<Input>,
    /// Ends of abandoned attempts with the time at which the host is notified, in the order of these times.
    delayed: VecDeque<(Micros, Input)>,
    /// A reused buffer for the host's commands.
    pub(crate) commands: Vec<Command>,
}

impl HostQueue {
    pub(crate) fn push(&mut self, input: Input) {
        self.inputs.push_back(input);
    }

    pub(crate) fn pop(&mut self) -> Option<Input> {
        self.inputs.pop_front()
    }

    /// Adds an input that is passed to the host at `at`; `at` must not be before that of the previous delayed
    /// input.
    pub(crate) fn push_delayed(&mut self, at: Micros, input: Input) {
        self.delayed.push_back((at, input));
    }

    pub(crate) fn next_delayed_at(&self) -> Option<Micros> {
        self.delayed.front().map(|(at, _)| *at)
    }

    /// Removes the next delayed input if its time has come.
    pub(crate) fn pop_delayed(&mut self, now: Micros) -> Option<Input> {
        self.delayed.pop_front_if(|(at, _)| *at <= now).map(|(_, input)| input)
    }
}
