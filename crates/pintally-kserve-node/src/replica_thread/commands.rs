//! Proposes operators' commands as writes to the replicated store, and applies the store to limits and zones.

use std::collections::VecDeque;

use crossbeam_channel::Sender;
use pintally::interface::Micros;
use pintally_consensus::{Output, ReplicaName, Write};

use super::ReplicaThread;
use crate::operator_command::{CommandAnswer, OperatorCommand};
use crate::sync::lock;

/// Prefixes of keys in the replicated store: amounts of limits, and operators' orders for zones.
pub(super) const LIMIT_PREFIX: &str = "limit/";
pub(super) const ZONE_PREFIX: &str = "zone/";
/// Valid orders for a zone; the empty order returns the zone to the planner.
const ZONE_ORDERS: [&str; 3] = ["out", "hold", ""];
/// Maximum amount of a limit.
const MAX_LIMIT_AMOUNT: f64 = 1e9;
/// Maximum number of commands that wait for their effect. A further one displaces the oldest, which is then
/// not answered.
const MAX_PENDING_COMMANDS: usize = 64;

/// Commands that wait for their effect, oldest first.
#[derive(Default)]
pub(super) struct PendingCommands {
    waiting: VecDeque<(u64, Sender<CommandAnswer>)>,
    last_number: u64,
}

impl PendingCommands {
    /// Adds a command and returns its number.
    fn add(&mut self, answer: Sender<CommandAnswer>) -> u64 {
        self.last_number += 1;
        if self.waiting.len() >= MAX_PENDING_COMMANDS {
            self.waiting.pop_front();
        }
        self.waiting.push_back((self.last_number, answer));
        self.last_number
    }

    /// Answers a command, if it still waits.
    pub(super) fn answer(&mut self, number: u64, answer: CommandAnswer) {
        let Some(index) = self.waiting.iter().position(|(waiting, _)| *waiting == number) else { return };
        if let Some((_, sender)) = self.waiting.remove(index) {
            let _ = sender.try_send(answer);
        }
    }
}

impl ReplicaThread<'_> {
    /// Proposes a command to the replicas, or rejects it.
    pub(super) fn handle_command(
        &mut self,
        now: Micros,
        command: OperatorCommand,
        answer: Sender<CommandAnswer>,
        out: &mut Vec<Output>,
    ) {
        let number = self.commands.add(answer);
        let proposed = match command {
            // Not for replicas: the node that receives these commands runs them itself.
            OperatorCommand::Clear(_) | OperatorCommand::Rehearse(_) => Ok(()),
            OperatorCommand::Zone(zone, order) => self.propose_zone_order(now, number, &zone, order, out),
            OperatorCommand::Replicas(names) => {
                let names = names.iter().map(|name| ReplicaName::from(name.as_str())).collect();
                self.replica.propose_replicas(now, number, names, out);
                Ok(())
            }
            OperatorCommand::Limit(name, amount) => self.propose_limit(now, number, &name, amount, out),
        };
        if let Err(rejected) = proposed {
            self.commands.answer(number, rejected);
        }
    }

    fn propose_limit(
        &mut self,
        now: Micros,
        number: u64,
        name: &str,
        amount: f64,
        out: &mut Vec<Output>,
    ) -> Result<(), CommandAnswer> {
        let mut limits = self.shared.settings.quotas.iter().flat_map(|quotas| &quotas.limits);
        if !limits.any(|limit| limit.name == name) || !(0.0..=MAX_LIMIT_AMOUNT).contains(&amount) {
            return Err(CommandAnswer::rejected(format!("there is no limit `{name}`")));
        }
        self.propose_write(now, number, format!("{LIMIT_PREFIX}{name}"), amount.to_string(), out);
        Ok(())
    }

    fn propose_zone_order(
        &mut self,
        now: Micros,
        number: u64,
        zone: &str,
        order: String,
        out: &mut Vec<Output>,
    ) -> Result<(), CommandAnswer> {
        let zones = self.shared.settings.failover.as_ref().map(|failover| &failover.policy.zones);
        let known = zones.is_some_and(|zones| zones.zone_index(zone).is_some());
        if !known || !ZONE_ORDERS.contains(&order.as_str()) {
            return Err(CommandAnswer::rejected(format!("no zone of a region is named `{zone}`")));
        }
        self.propose_write(now, number, format!("{ZONE_PREFIX}{zone}"), order, out);
        Ok(())
    }

    fn propose_write(&mut self, now: Micros, number: u64, key: String, value: String, out: &mut Vec<Output>) {
        let write = Write { key, value: value.into(), expect: None };
        self.replica.propose(now, number, write, out);
    }

    /// Applies the limits and zone orders of the replicated store after it has changed.
    pub(super) fn apply_store(&mut self) {
        let values = self.replica.store().iter();
        let zone_orders = values.filter_map(|(key, value)| {
            let order = String::from_utf8(value.bytes.clone()).ok()?;
            Some((key.strip_prefix(ZONE_PREFIX)?.to_string(), order))
        });
        *lock(&self.shared.fleet.zone_orders) = zone_orders.collect();
        let Some(granter) = &mut self.granter else { return };
        let Some(quotas) = &self.shared.settings.quotas else { return };
        for limit in &quotas.limits {
            let stored = self.replica.store().get(&format!("{LIMIT_PREFIX}{}", limit.name));
            let amount = stored.and_then(|value| std::str::from_utf8(&value.bytes).ok());
            let amount = amount.and_then(|text| text.parse().ok());
            granter.set_limit_amount(limit.id(), amount.unwrap_or(limit.limit));
        }
    }
}
