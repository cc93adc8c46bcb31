//! Runs many seeds, and shrinks a plan that breaks a rule.

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;

use crate::check::{Rule, Violation};
use crate::mutation::{Mutation, MUTATIONS};
use crate::plan::Plan;
use crate::world::play;

/// Totals over many seeds.
#[derive(Clone, Debug, Default)]
pub struct SearchSummary {
    #[allow(missing_docs)]
    pub seeds: u64,
    #[allow(missing_docs)]
    pub steps: u64,
    #[allow(missing_docs)]
    pub asked: u64,
    #[allow(missing_docs)]
    pub served: u64,
    /// Seeds that broke a rule, in ascending order, and their violations.
    pub violations: Vec<(u64, Violation)>,
    /// Pairs of an attempt's step and outcome that occurred.
    pub step_outcomes: BTreeSet<String>,
}

/// For each mutation, the first seed in `1..=seeds` that detects it and the violation; `None` if no seed does.
pub fn mutations(seeds: u64) -> Vec<(Mutation, Option<(u64, Violation)>)> {
    let first =
        |m| (1..=seeds).find_map(|seed| Some((seed, play(&Plan::from_seed(seed), Some(m)).violation?)));
    thread::scope(|scope| {
        let all: Vec<_> = MUTATIONS.iter().map(|m| (*m, scope.spawn(move || first(*m)))).collect();
        all.into_iter().map(|(m, found)| (m, found.join().unwrap_or_default())).collect()
    })
}

/// Plays the plans of a range of seeds on `threads` threads; stops once `max_violations` seeds broke a rule.
pub fn run(
    seeds: Range<u64>,
    threads: usize,
    mutation: Option<Mutation>,
    max_violations: usize,
) -> SearchSummary {
    let next = AtomicU64::new(seeds.start);
    let found = Mutex::new(SearchSummary::default());
    let lock = || found.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end || lock().violations.len() >= max_violations {
                    return;
                }
                let played = play(&Plan::from_seed(seed), mutation);
                let mut found = lock();
                found.seeds += 1;
                found.steps += played.steps;
                found.asked += played.asked;
                found.served += played.served;
                found.step_outcomes.extend(played.step_outcomes);
                found.violations.extend(played.violation.map(|b| (seed, b)));
            });
        }
    });
    let mut found = found.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    found.violations.sort_by_key(|b| b.0);
    found
}

/// Removes faults, requests, engines and nodes from a plan as long as it still breaks the same rule.
pub fn shrink(plan: &Plan, rule: Rule, mutation: Option<Mutation>) -> Plan {
    let breaks = |p: &Plan| play(p, mutation).violation.is_some_and(|b| b.rule == rule);
    let mut plan = plan.clone();
    loop {
        let before = (plan.faults.len(), plan.requests.len(), plan.readers, plan.writers, plan.nodes);
        drop_parts(&mut plan, |p| &mut p.faults, &breaks);
        drop_parts(&mut plan, |p| &mut p.requests, &breaks);
        for less in
            [|p: &mut Plan| p.readers -= 1, |p: &mut Plan| p.writers -= 1, |p: &mut Plan| p.nodes -= 1]
        {
            loop {
                let mut tried = plan.clone();
                less(&mut tried);
                if tried.readers == 0 || tried.writers == 0 || tried.nodes == 0 || !breaks(&tried) {
                    break;
                }
                plan = tried;
            }
        }
        if before == (plan.faults.len(), plan.requests.len(), plan.readers, plan.writers, plan.nodes) {
            return plan;
        }
    }
}

/// Removes parts of a list, large ones first, as long as the plan still breaks the rule.
fn drop_parts<T: Clone>(
    plan: &mut Plan,
    list: impl Fn(&mut Plan) -> &mut Vec<T>,
    breaks: &impl Fn(&Plan) -> bool,
) {
    let mut size = list(plan).len().div_ceil(2);
    while size > 0 {
        let mut at = 0;
        while at < list(plan).len() {
            let mut tried = plan.clone();
            let all = list(&mut tried);
            all.drain(at..(at + size).min(all.len()));
            if breaks(&tried) {
                *plan = tried;
            } else {
                at += size;
            }
        }
        size /= 2;
    }
}
