//! Operators' commands received over a stream: run here, or passed to this node's replica.

use std::time::Duration;

use crossbeam_channel::{bounded, Sender};

use crate::failover_leader;
use crate::operator_command::{CommandAnswer, OperatorCommand};
use crate::replica_thread::ReplicaInput;
use crate::shared::Shared;
use crate::sync::lock;

/// Maximum number of cleared engines of which the fleet thread has not notified peers yet.
const MAX_CLEARED_ENGINES: usize = 64;
/// Maximum wait for the answer to a command. After that it is unknown whether the command takes effect.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs a command given as JSON and waits for its answer.
pub(super) fn execute_command(
    shared: &Shared,
    replica: Option<&Sender<ReplicaInput>>,
    json: &[u8],
) -> CommandAnswer {
    match serde_json::from_slice(json) {
        Ok(OperatorCommand::Clear(engine)) => clear_engine(shared, engine),
        Ok(OperatorCommand::Rehearse(zone)) => dry_run(shared, zone),
        Ok(command) => propose(replica, command),
        Err(_) => CommandAnswer::rejected("there is no such order"),
    }
}

fn clear_engine(shared: &Shared, engine: String) -> CommandAnswer {
    if shared.settings.outlier_detection.is_none() {
        return CommandAnswer::rejected("this node has no verdicts in its settings");
    }
    let mut cleared = lock(&shared.fleet.cleared_engines);
    if cleared.len() >= MAX_CLEARED_ENGINES {
        return CommandAnswer::rejected("too many engines are cleared at once");
    }
    cleared.push(engine);
    CommandAnswer::done("told to all")
}

fn dry_run(shared: &Shared, zone: String) -> CommandAnswer {
    match failover_leader::dry_run(shared, zone, COMMAND_TIMEOUT) {
        Some(status) => CommandAnswer::done(serde_json::to_string(&status).unwrap_or_default()),
        None => CommandAnswer::rejected("this node does not lead, or there is no such zone"),
    }
}

/// Proposes a command to the replicas and waits for their agreement.
fn propose(replica: Option<&Sender<ReplicaInput>>, command: OperatorCommand) -> CommandAnswer {
    let Some(replica) = replica else { return CommandAnswer::rejected("this node is no keeper") };
    let (sender, receiver) = bounded(1);
    if replica.try_send(ReplicaInput::Command { command, answer: sender }).is_err() {
        return CommandAnswer::rejected("the keeper has too much to do");
    }
    receiver
        .recv_timeout(COMMAND_TIMEOUT)
        .unwrap_or_else(|_| CommandAnswer::rejected("not agreed on in time: ask whether it was made"))
}
