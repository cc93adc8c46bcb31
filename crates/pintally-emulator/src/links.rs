//! Links whose bandwidth is shared by max-min fairness: the rate of a flow cannot grow without reducing
//! another flow whose rate is no higher.

use std::collections::BTreeMap;

use crate::Micros;

/// Number of a link.
pub type LinkId = usize;
/// Identifies a flow.
pub type FlowId = u64;

/// A flow with no more bytes left than this is done.
const DONE_BYTES: f64 = 1e-6;

#[derive(Clone, Debug)]
struct Flow {
    path: Vec<LinkId>,
    left: f64,
    rate: f64,
}

/// Links and the flows over them.
#[derive(Clone, Debug, Default)]
pub struct Links {
    /// Capacity of each link in bytes per microsecond.
    capacity: Vec<f64>,
    flows: BTreeMap<FlowId, Flow>,
    at: Micros,
}

impl Links {
    /// Adds a link with a capacity in bytes per microsecond.
    pub fn add(&mut self, capacity: f64) -> LinkId {
        self.capacity.push(capacity);
        self.capacity.len() - 1
    }

    /// Changes a link's capacity; 0 stops all flows over it.
    pub fn set(&mut self, now: Micros, link: LinkId, capacity: f64) {
        self.advance(now);
        if let Some(own) = self.capacity.get_mut(link) {
            *own = capacity.max(0.0);
        }
        self.share();
    }

    /// Begins a flow of `bytes` bytes.
    pub fn begin(&mut self, now: Micros, id: FlowId, path: Vec<LinkId>, bytes: f64) {
        self.advance(now);
        self.flows.insert(id, Flow { path, left: bytes, rate: 0.0 });
        self.share();
    }

    /// Ends a flow early.
    pub fn cancel(&mut self, now: Micros, id: FlowId) {
        self.advance(now);
        if self.flows.remove(&id).is_some() {
            self.share();
        }
    }

    /// Removes and returns the flows that are done, in order of their identifiers.
    pub fn finished(&mut self, now: Micros) -> Vec<FlowId> {
        self.advance(now);
        let done: Vec<FlowId> =
            self.flows.iter().filter(|(_, f)| f.left <= DONE_BYTES).map(|(id, _)| *id).collect();
        if !done.is_empty() {
            done.iter().for_each(|id| {
                self.flows.remove(id);
            });
            self.share();
        }
        done
    }

    /// Time at which the next flow is done if nothing else changes.
    pub fn next(&self) -> Option<Micros> {
        let ends = self.flows.values().filter(|f| f.rate > 0.0 || f.left <= DONE_BYTES);
        let after = |f: &Flow| if f.left <= DONE_BYTES { 0 } else { (f.left / f.rate).ceil() as u64 };
        ends.map(|f| self.at + after(f)).min()
    }

    /// Current rate of a flow in bytes per microsecond.
    pub fn rate(&self, id: FlowId) -> Option<f64> {
        self.flows.get(&id).map(|f| f.rate)
    }

    /// Number of flows in progress.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether there are no flows.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    fn advance(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at) as f64;
        self.at = self.at.max(now);
        self.flows.values_mut().for_each(|f| f.left = (f.left - f.rate * passed).max(0.0));
    }

    /// Computes the rates by progressive filling: all rates grow together until a link is full, which fixes
    /// the rates of the flows over it.
    fn share(&mut self) {
        let mut left = self.capacity.clone();
        let mut users = vec![0usize; left.len()];
        for flow in self.flows.values() {
            flow.path.iter().for_each(|l| users[*l] += 1);
        }
        let mut open: Vec<FlowId> = self.flows.keys().copied().collect();
        while !open.is_empty() {
            let full = (0..left.len()).filter(|l| users[*l] > 0);
            let full =
                full.min_by(|a, b| (left[*a] / users[*a] as f64).total_cmp(&(left[*b] / users[*b] as f64)));
            let Some(full) = full else {
                // Flows over no link at all are done at once.
                open.iter().for_each(|id| {
                    if let Some(f) = self.flows.get_mut(id) {
                        (f.left, f.rate) = (0.0, 0.0);
                    }
                });
                return;
            };
            let rate = left[full] / users[full] as f64;
            open.retain(|id| {
                let Some(flow) = self.flows.get_mut(id).filter(|f| f.path.contains(&full)) else {
                    return true;
                };
                flow.rate = rate;
                for link in &flow.path {
                    left[*link] = (left[*link] - rate).max(0.0);
                    users[*link] -= 1;
                }
                false
            });
        }
    }
}
