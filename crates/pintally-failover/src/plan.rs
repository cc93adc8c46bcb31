//! A plan, as it is told.

use serde::{Deserialize, Serialize};

use crate::map::MAX_ZONES;

/// Who may go where, decided by one leader in its term. Parts are of 255.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverPlan {
    /// The leader's term: a later one wins.
    pub term: u64,
    /// Counts the plans of a term.
    pub number: u64,
    /// By zone in which a request comes: which zones serve it, and which part each. What is missing to
    /// the whole is refused at home.
    pub rows: Vec<Vec<(u8, u8)>>,
    /// By zone: how much of its room is in use, on its way back: 255 is all of it, 0 is given up.
    pub open: Vec<u8>,
}

impl FailoverPlan {
    /// As bytes; at most a fact's length with 20 zones and four targets each.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a plan; nothing if it is none, or names a zone that there is not.
    pub fn decode(bytes: &[u8], zones: usize) -> Option<FailoverPlan> {
        let plan: FailoverPlan = postcard::from_bytes(bytes).ok()?;
        let sound = |row: &Vec<(u8, u8)>| {
            let sum: u32 = row.iter().map(|(_, part)| u32::from(*part)).sum();
            row.len() <= 4 && sum <= 255 && row.iter().all(|(zone, _)| usize::from(*zone) < zones)
        };
        let fits = zones <= MAX_ZONES && plan.rows.len() == zones && plan.open.len() == zones;
        (fits && plan.rows.iter().all(sound)).then_some(plan)
    }

    /// Whether it holds instead of the one that is known, if any is.
    pub fn follows(&self, known: Option<&FailoverPlan>) -> bool {
        known.is_none_or(|known| (known.term, known.number) < (self.term, self.number))
    }
}
