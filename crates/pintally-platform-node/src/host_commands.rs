//! Passing of inputs to the host, and execution of its commands.

use pintally::interface::Micros;
use pintally_host::{Command, Host, Input};

use crate::node::Node;

impl Node {
    /// Queues an input and passes all queued inputs to the host.
    pub(crate) fn handle_input(&mut self, input: Input) {
        self.host_queue.push(input);
        self.drain_inputs();
    }

    /// Passes all queued inputs to the host and executes the commands that it issues.
    pub(crate) fn drain_inputs(&mut self) {
        while let Some(input) = self.host_queue.pop() {
            let now = self.clock.now();
            self.run_host(|host, commands| host.handle(now, input, commands));
        }
    }

    /// Runs the host's timers if one of them has expired.
    pub(crate) fn tick_host(&mut self, now: Micros) {
        if self.host.next_wake().is_some_and(|at| at <= now) {
            self.run_host(|host, commands| host.tick(now, commands));
            self.drain_inputs();
        }
    }

    /// Notifies the host of abandoned attempts whose notification delay has passed.
    pub(crate) fn deliver_delayed_inputs(&mut self, now: Micros) {
        while let Some(input) = self.host_queue.pop_delayed(now) {
            self.handle_input(input);
        }
    }

    /// Calls the host and executes the commands that it issues.
    fn run_host(&mut self, call: impl FnOnce(&mut Host, &mut Vec<Command>)) {
        let mut commands = std::mem::take(&mut self.host_queue.commands);
        call(&mut self.host, &mut commands);
        for command in commands.drain(..) {
            self.execute(command);
        }
        self.host_queue.commands = commands;
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Attempt(order) => self.start_attempt(order),
            Command::Cancel(number, _) => self.cancel_attempt(number),
            Command::Answer(number, answer) => self.send_final_answer(number, answer),
            Command::RequestComplete(number) => self.requests.remove(number),
            Command::Release { name, engine, address, new_connection } => {
                self.send_release(name, engine, address, new_connection);
            }
            Command::ProbeConnection(number, attempt, engine, address) => {
                self.probe_connection(number, attempt, &engine, address);
            }
            Command::WithdrawReleases(id) => self.withdraw_releases(&id),
            // The platform has no health checks of engines.
            Command::HealthCheck(engine, _, _) => {
                self.host_queue.push(Input::HealthChecked(engine, false, None));
            }
            // The endpoint list arrives through the watch.
            Command::ReloadEndpointList => self.reopen_watch(),
            Command::Log(text) => self.log_host_message(&text),
            // Nodes on the platform have no peers.
            Command::QueryPeer(_)
            | Command::RecoveryStage(_)
            | Command::RequestQuota(_)
            | Command::PublishOutlierReport(_)
            | Command::PublishZoneReport(..) => {}
            Command::Stopped => self.shutdown.host_stopped = true,
        }
    }

    fn log_host_message(&mut self, text: &str) {
        if self.log_limiter.allows(self.clock.now()) {
            tracing::info!("{text}");
        }
    }
}
