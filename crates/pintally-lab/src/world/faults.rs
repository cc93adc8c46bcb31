//! Injected faults.

use pintally::interface::EndpointState;
use pintally_audit::AuditEvent;
use pintally_cells::MoveCommand;

use crate::fault_schedule::FaultAction;

use super::World;

impl World<'_> {
    pub(super) fn apply_fault(&mut self, action: FaultAction) {
        match action {
            FaultAction::SetRunning(engine, false) => {
                self.fleet.crash(self.now, engine, &mut self.notices);
                self.listing[engine] = EndpointState::Gone;
                self.publish_endpoint_list();
            }
            FaultAction::SetRunning(engine, true) => {
                self.fleet.start(self.now, engine, true);
                (self.listing[engine], self.started[engine]) = (EndpointState::Serving, Some(self.now));
                self.record_event(AuditEvent::EngineStarted { engine: self.specs[engine].id.clone() });
                self.publish_endpoint_list();
            }
            FaultAction::SetSlowdown(engine, factor) => self.fleet.fault(engine, |f| f.slow = factor),
            FaultAction::SetLinkSlowdown(engine, factor) => self.fleet.slow_port(self.now, engine, factor),
            FaultAction::PauseUntil(engine, until) => self.fleet.fault(engine, |f| f.paused_until = until),
            FaultAction::ClearCache(engine) => self.fleet.forget(engine),
            FaultAction::SetReportAccuracy(engine, accuracy) => {
                self.fleet.fault(engine, |f| f.reports = accuracy);
            }
            FaultAction::SetDraining(engine, drains) => {
                if self.listing[engine] != EndpointState::Gone {
                    self.listing[engine] =
                        if drains { EndpointState::Draining } else { EndpointState::Serving };
                    self.publish_endpoint_list();
                }
            }
            FaultAction::AnnounceMove(tenant, cell, over_us) => {
                let (to, over_ms) = (vec![cell.as_str().into()], (over_us / 1000).max(1));
                self.apply_move(&tenant, MoveCommand::Begin { to, over_ms });
            }
            FaultAction::AdvanceMove(tenant, done) => {
                self.apply_move(&tenant, if done { MoveCommand::Done } else { MoveCommand::Go });
            }
            FaultAction::SetTrafficRate(rate) => self.rate = rate,
            FaultAction::SetHotTextShare(share) => self.hot_text_share = share,
        }
    }
}
