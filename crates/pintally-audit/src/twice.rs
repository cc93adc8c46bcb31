//! No effect happens twice, and a refusal of what may have run is a lie.

use crate::index::{Index, Work};
use crate::record::{Answer, Idempotency, IdempotencyScope, Step};

pub(crate) fn check(index: &Index) -> Vec<String> {
    let mut found = Vec::new();
    for t in index.tries.values() {
        let effect = index.effect(t.class);
        if effect == Idempotency::Idempotent {
            continue;
        }
        // A read has no effect, however it ends; what an engine turned away or never got has not run.
        let works = index.by_request.get(t.request).into_iter().flatten().map(|i| &index.works[*i]);
        let may_have_run: Vec<&Work> = works.filter(|w| w.step != Step::Read && !w.turned_away).collect();
        let Some(first) = may_have_run.first() else { continue };
        if may_have_run.iter().filter(|w| w.ran).count() > 1 && effect == Idempotency::NotIdempotent {
            found.push(format!("request {} of class {} ran twice", t.request, t.class));
        }
        for later in &may_have_run[1..] {
            match effect {
                Idempotency::NotIdempotent => found.push(format!(
                    "request {} was sent to {} though it may have run at {}",
                    t.request, later.engine, first.engine
                )),
                Idempotency::WithKey { group, window_us } => {
                    if !same_group(index, group, first.engine, later.engine) {
                        found.push(format!(
                            "request {} was repeated at {}, outside the group of {}",
                            t.request, later.engine, first.engine
                        ));
                    }
                    if later.at > first.at + window_us + index.slack(first.at, later.at) {
                        found.push(format!("request {} was repeated after its window", t.request));
                    }
                }
                Idempotency::Idempotent => {}
            }
        }
        let refused = t.answers.iter().any(|a| a.1 == Answer::Refused);
        let harmless = matches!(effect, Idempotency::WithKey { group: IdempotencyScope::All, .. });
        if refused && !harmless {
            found.push(format!("request {} was refused though it may have run", t.request));
        }
    }
    found
}

fn same_group(index: &Index, group: IdempotencyScope, a: &str, b: &str) -> bool {
    let (Some(a), Some(b)) = (index.engine(a), index.engine(b)) else { return false };
    match group {
        IdempotencyScope::All => true,
        IdempotencyScope::Zone => a.zone == b.zone,
        IdempotencyScope::Rack => a.zone == b.zone && a.rack == b.rack,
    }
}
