//! Releases of all reservations of a request, with [`ReleaseScope::Request`](crate::ReleaseScope::Request): any
//! engine can execute them.

use pintally::interface::{EngineId, Micros, RequestId};

use super::Host;
use crate::command::Command;
use crate::release_retries::Wakeup;
use crate::release_scheduler::{EndedRelease, ReleaseCall};
use crate::timers::TimerEvent;

impl Host {
    /// Begins to release all reservations of a request, unless this is in progress.
    pub(super) fn release_request(&mut self, id: &RequestId, out: &mut Vec<Command>) {
        if self.release_scheduler.is_pending(id) {
            return;
        }
        let Some(record) = self.requests.by_id_mut(id) else { return };
        let Some(holder) = record.reservations.last_engine() else { return };
        record.reservations.lose_fetchable();
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

    /// Makes the next call for a request whose reservations are released.
    pub(super) fn call_release(&mut self, id: RequestId, out: &mut Vec<Command>) {
        let call = self.release_scheduler.next_call(self.now, &id, self.endpoints.listings());
        let Some(ReleaseCall { engine, new_connection, next_call_after, is_last_expected }) = call else {
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
        if is_last_expected || next_call_after.is_none() {
            self.counters.releases_lost += 1;
            out.push(Command::Log(format!("release not acknowledged by any engine: request_id={}", id.0)));
            // For the core the reservations are gone now; calls continue while there is capacity for them.
            self.forget_released(&id);
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
            return self.record_failure(engine);
        }
        self.record_heard(engine);
        if self.withdraw_release(id, 1, out) {
            self.forget_released(id);
        }
    }

    pub(super) fn wake_request_releases(&mut self) {
        for Wakeup { name, replaced_timer, at } in self.release_scheduler.wake(self.now) {
            let timer = self.timers.replace(replaced_timer, at, TimerEvent::RequestRelease(name.clone()));
            self.release_scheduler.set_timer(&name, timer);
        }
    }

    /// Ends the release of a request and withdraws its calls, if there were more than were acknowledged. Whether
    /// a release was pending.
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

    /// The reservations of a request were released. What an attempt waits for is removed when it ends.
    fn forget_released(&mut self, id: &RequestId) {
        let Some(record) = self.requests.by_id_mut(id) else { return };
        if record.is_fetching() {
            record.reservations.mark_released_in_flight();
        } else {
            record.reservations.clear();
        }
    }
}
