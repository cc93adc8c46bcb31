//! Releases of all reservations of a request, with [`ReleaseScope::Request`](crate::ReleaseScope::Request): any
//! engine can execute them.

use pintally::interface::{EngineId, Micros, RequestId};

use super::Host;
use crate::command::Command;
use crate::release_retries::Wakeup;
use crate::release_scheduler::{EndedRelease, ReleaseCall};
use crate::timers::TimerEvent;

impl Host {
    /// Begins the release of all reservations of a request, unless it is pending already.
    pub(super) fn release_request(&mut self, id: &RequestId, out: &mut Vec<Command>) {
        if self.release_scheduler.is_pending(id) {
            return;
        }
        let Some(record) = self.requests.by_id_mut(id) else { return };
        let Some(holder) = record.reservations.last_engine() else { return };
        record.reservations.mark_fetchable_lost();
        let pending_since = record.reservations.deadline_runs_since();
        self.begin_request_release(id, holder, pending_since, out);
    }

    pub(super) fn begin_request_release(
        &mut self,
        id: &RequestId,
        holder: EngineId,
        pending_since: Micros,
        out: &mut Vec<Command>,
    ) {
        self.counters.releases += 1;
        self.release_scheduler.begin(self.now, id, holder, pending_since);
        self.call_release(id.clone(), out);
    }

    /// Makes the next release call for a request.
    pub(super) fn call_release(&mut self, id: RequestId, out: &mut Vec<Command>) {
        let call = self.release_scheduler.next_call(self.now, &id, self.endpoints.listings());
        let Some(ReleaseCall { engine, new_connection, next_call_after, is_call_limit_reached }) = call
        else {
            return;
        };
        let target = engine.and_then(|engine| self.endpoints.address(&engine).map(|a| (engine, a)));
        if let Some((engine, address)) = target {
            self.counters.release_calls += 1;
            out.push(Command::Release { name: id.clone(), engine, address, new_connection });
        }
        match next_call_after {
            Some(after) => {
                let at = self.now.saturating_add(after);
                let timer = self.timers.set(at, TimerEvent::RequestRelease(id.clone()));
                self.release_scheduler.set_timer(&id, timer);
            }
            None => drop(self.release_scheduler.end(&id)),
        }
        if is_call_limit_reached || next_call_after.is_none() {
            self.counters.releases_lost += 1;
            out.push(Command::Log(format!("release not acknowledged by any engine: request_id={}", id.0)));
            // The reservations count as released from now on; calls continue while there is capacity for them.
            self.remove_released(&id);
        }
    }

    pub(super) fn on_request_release_result(
        &mut self,
        id: &RequestId,
        engine: &EngineId,
        acknowledged: bool,
        out: &mut Vec<Command>,
    ) {
        if !acknowledged {
            return self.record_engine_failure(engine);
        }
        self.record_engine_response(engine);
        if self.withdraw_release(id, 1, out) {
            self.remove_released(id);
        }
    }

    pub(super) fn wake_request_releases(&mut self) {
        for Wakeup { name, replaced_timer, at } in self.release_scheduler.wake(self.now) {
            let timer = self.timers.replace(replaced_timer, at, TimerEvent::RequestRelease(name.clone()));
            self.release_scheduler.set_timer(&name, timer);
        }
    }

    /// Ends the release of a request, and withdraws its calls if more were made than were acknowledged. Returns
    /// whether a release was pending.
    pub(super) fn withdraw_release(
        &mut self,
        id: &RequestId,
        acknowledged_calls: u32,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(EndedRelease { calls, timer }) = self.release_scheduler.end(id) else { return false };
        if let Some(timer) = timer {
            self.timers.cancel(timer);
        }
        if calls > acknowledged_calls {
            out.push(Command::WithdrawReleases(id.clone()));
        }
        true
    }

    /// Removes the reservations of a request after they were released. While an attempt fetches one of them, they are
    /// only marked, and the outcome of the attempt decides whether they are removed.
    fn remove_released(&mut self, id: &RequestId) {
        let Some(record) = self.requests.by_id_mut(id) else { return };
        if record.is_fetching() {
            record.reservations.mark_released_in_flight();
        } else {
            record.reservations.clear();
        }
    }
}
