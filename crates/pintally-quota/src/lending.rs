//! A keeper that lends while it leads, and what becomes of its lender when its lead lapses.

use crate::lender::{LeaseGranter, PoolStatus};
use crate::limit::{Limit, LimitId, Settings};
use crate::message::{LeaseGrant, LeaseRequest};
use crate::Micros;

/// A keeper's lending: one lender for each term in which it leads.
///
/// Guards against a lead that lapses for a moment and goes on in the same term: a lender that began anew
/// and reckoned from the term's beginning would lend all that is lent already a second time. Nobody else
/// can have led in between, or the term would be another; so its lender goes on with what it knows.
#[derive(Clone, Debug)]
pub struct LeaderGranter {
    settings: Settings,
    limits: Vec<(LimitId, Limit)>,
    lender: Option<(u64, LeaseGranter)>,
    leads: bool,
}

impl LeaderGranter {
    /// One that does not lead.
    pub fn new(settings: Settings, limits: Vec<(LimitId, Limit)>) -> LeaderGranter {
        LeaderGranter { settings, limits, lender: None, leads: false }
    }

    /// The term in which the keeper surely leads now, if it does; whether a new lender has begun.
    pub fn set_leadership(&mut self, now: Micros, term: Option<u64>) -> bool {
        self.leads = term.is_some();
        let Some(term) = term.filter(|term| self.lender.as_ref().is_none_or(|l| l.0 != *term)) else {
            return false;
        };
        // What it knows begins now, however long the term is old.
        self.lender = Some((term, LeaseGranter::new(self.settings, self.limits.iter().copied(), now)));
        true
    }

    /// A limit is another from now on, for this lender and later ones.
    pub fn change(&mut self, id: LimitId, most: f64) {
        self.limits.iter_mut().filter(|l| l.0 == id).for_each(|l| l.1.amount = most);
        if let Some((_, lender)) = &mut self.lender {
            lender.change(id, most);
        }
    }

    /// Answers asks of a holder; nothing while it does not lead.
    pub fn grant(&mut self, now: Micros, name: &str, life: u64, asks: &[LeaseRequest]) -> Vec<LeaseGrant> {
        match &mut self.lender {
            Some((_, lender)) if self.leads => {
                asks.iter().filter_map(|ask| lender.grant(now, name, life, ask)).collect()
            }
            _ => Vec::new(),
        }
    }

    /// How each limit that anybody holds stands, while it leads.
    pub fn status(&self) -> Option<Vec<PoolStatus>> {
        self.lender.as_ref().filter(|_| self.leads).map(|(_, lender)| lender.status())
    }
}
