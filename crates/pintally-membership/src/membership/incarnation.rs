//! Updates on this node itself: suspicions to refute, a later process incarnation that peers know, and
//! another process under the same name.

use super::Membership;
use crate::event::{MembershipEvent, Output};
use crate::gossip_queue::GossipItem;
use crate::member_table::{MemberState, MemberUpdate};
use crate::Micros;

/// A process that raises its boot number more often than this within one window shares its name with another
/// process.
const MAX_RAISES: u32 = 3;
/// Length of the window in which raises are counted, as a multiple of the longest failure detection time.
const RAISE_WINDOW_DETECTION_TIMES: u64 = 4;

/// How often this process has raised its boot number in the current window.
pub(super) struct IncarnationRaises {
    count: u32,
    window_start: Micros,
}

impl IncarnationRaises {
    pub(super) fn new(now: Micros) -> IncarnationRaises {
        IncarnationRaises { count: 0, window_start: now }
    }

    fn record(&mut self, now: Micros, window: Micros) {
        if now > self.window_start + window {
            *self = IncarnationRaises::new(now);
        }
        self.count += 1;
    }

    fn is_exceeded(&self) -> bool {
        self.count > MAX_RAISES
    }
}

impl Membership {
    pub(super) fn handle_update_about_self(
        &mut self,
        now: Micros,
        update: MemberUpdate,
        outputs: &mut Vec<Output>,
    ) {
        if update.process_incarnation == self.own.process_incarnation {
            return self.refute(&update);
        }
        if update.process_incarnation < self.own.process_incarnation {
            return;
        }
        // A disk that was restored from an older image causes one or two raises. A greater number shows that
        // another process is running under this name and raises its boot number as well. The one with the
        // greater nonce yields the name.
        let detection_time = self.settings.max_failure_detection_time(self.alive_count());
        self.raises.record(now, RAISE_WINDOW_DETECTION_TIMES * detection_time);
        if self.raises.is_exceeded() && update.process_incarnation.nonce < self.own.process_incarnation.nonce
        {
            self.has_stopped = true;
            outputs.push(Output::Event(MembershipEvent::NameYielded));
            return;
        }
        self.raise_boot_above(update.process_incarnation.boot, outputs);
    }

    /// Refutes a suspicion of this process by raising SWIM's incarnation.
    fn refute(&mut self, update: &MemberUpdate) {
        if update.state == MemberState::Alive || update.incarnation < self.own.incarnation {
            return;
        }
        self.own.incarnation = update.incarnation + 1;
        self.counters.refuted += 1;
        self.health.degrade(1);
        self.gossip.push(GossipItem::Member(self.own.name.clone()));
    }

    /// Continues under a boot number above the one that peers know, and publishes all facts again under it.
    fn raise_boot_above(&mut self, known_boot: u64, outputs: &mut Vec<Output>) {
        let previous_boot = self.own.process_incarnation.boot;
        let new_boot = known_boot + 1;
        self.own.process_incarnation.boot = new_boot;
        self.own.incarnation = 0;
        self.counters.outdated_incarnations += 1;
        outputs.push(Output::Event(MembershipEvent::StoredIncarnationOutdated { previous_boot, new_boot }));
        self.gossip.push(GossipItem::Member(self.own.name.clone()));
        for (topic, payload) in self.published.clone() {
            self.publish_version(topic, payload);
        }
    }
}
