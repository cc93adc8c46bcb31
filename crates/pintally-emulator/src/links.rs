//! Links whose bandwidth all flows over them share fairly (max-min): no flow can have more without
//! another that has no more than it having less.

use std::collections::BTreeMap;

use crate::Micros;

/// Names a link, by its number.
pub type LinkId = usize;
/// Names a flow.
pub type FlowId = u64;

/// What is left this close to zero is done.
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
    /// Bytes a microsecond.
    capacity: Vec<f64>,
    flows: BTreeMap<FlowId, Flow>,
    at: Micros,
}

impl Links {
    /// Adds a link of so many bytes a microsecond.
    pub fn add(&mut self, capacity: f64) -> LinkId {
        self.capacity.push(capacity);
        self.capacity.len() - 1
    }

    /// Changes a link's capacity; 0 holds everything on it.
    pub fn set(&mut self, now: Micros, link: LinkId, capacity: f64) {
        self.advance(now);
        if let Some(own) = self.capacity.get_mut(link) {
            *own = capacity.max(0.0);
        }
        self.share();
    }

    /// A flow of so many bytes begins.
    pub fn begin(&mut self, now: Micros, id: FlowId, path: Vec<LinkId>, bytes: f64) {
        self.advance(now);
        self.flows.insert(id, Flow { path, left: bytes, rate: 0.0 });
        self.share();
    }

    /// A flow ends before its time.
    pub fn cancel(&mut self, now: Micros, id: FlowId) {
        self.advance(now);
        if self.flows.remove(&id).is_some() {
            self.share();
        }
    }

    /// Flows that are done by now, in the order of their names.
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

    /// When the next flow is done, if nothing else changes.
    pub fn next(&self) -> Option<Micros> {
        let ends = self.flows.values().filter(|f| f.rate > 0.0 || f.left <= DONE_BYTES);
        let after = |f: &Flow| if f.left <= DONE_BYTES { 0 } else { (f.left / f.rate).ceil() as u64 };
        ends.map(|f| self.at + after(f)).min()
    }

    /// The bytes a microsecond that a flow has now.
    pub fn rate(&self, id: FlowId) -> Option<f64> {
        self.flows.get(&id).map(|f| f.rate)
    }

    /// Flows under way.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    fn advance(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at) as f64;
        self.at = self.at.max(now);
        self.flows.values_mut().for_each(|f| f.left = (f.left - f.rate * passed).max(0.0));
    }

    /// Fills all flows at the same pace; those on the link that is full first stop there.
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
