//! The rule that no effect happens twice, and that no request that may have run is answered as rejected.

use crate::index::{Attempt, Index};
use crate::record::{Answer, Idempotency, IdempotencyScope, Step};

pub(crate) fn check(index: &Index) -> Vec<String> {
    let mut found = Vec::new();
    for t in index.tries.values() {
        let idempotency = index.idempotency(t.class);
        if idempotency == Idempotency::Idempotent {
            continue;
        }
        // A read has no effect, however it ends, and an attempt that its engine rejected has not run.
        let attempts =
            index.attempts_by_request.get(t.request).into_iter().flatten().map(|i| &index.attempts[*i]);
        let may_have_run: Vec<&Attempt> =
            attempts.filter(|a| a.step != Step::Read && !a.turned_away).collect();
        let Some(first) = may_have_run.first() else { continue };
        if may_have_run.iter().filter(|a| a.ran).count() > 1 && idempotency == Idempotency::NotIdempotent {
            found.push(format!("request {} of class {} ran twice", t.request, t.class));
        }
        for later in &may_have_run[1..] {
            match idempotency {
                Idempotency::NotIdempotent => found.push(format!(
                    "request {} was sent to {} though it may have run at {}",
                    t.request, later.engine, first.engine
                )),
                Idempotency::WithKey { group, window_us } => {
                    if !same_scope(index, group, first.engine, later.engine) {
                        found.push(format!(
                            "request {} was repeated at {}, outside the group of {}",
                            t.request, later.engine, first.engine
                        ));
                    }
                    if later.at > first.at + window_us + index.slack_us(first.at, later.at) {
                        found.push(format!("request {} was repeated after its window", t.request));
                    }
                }
                Idempotency::Idempotent => {}
            }
        }
        let refused = t.answers.iter().any(|a| a.1 == Answer::Refused);
        let safe_to_retry = matches!(idempotency, Idempotency::WithKey { group: IdempotencyScope::All, .. });
        if refused && !safe_to_retry {
            found.push(format!("request {} was refused though it may have run", t.request));
        }
    }
    found
}

fn same_scope(index: &Index, scope: IdempotencyScope, a: &str, b: &str) -> bool {
    let (Some(a), Some(b)) = (index.engine(a), index.engine(b)) else { return false };
    match scope {
        IdempotencyScope::All => true,
        IdempotencyScope::Zone => a.zone == b.zone,
        IdempotencyScope::Rack => a.zone == b.zone && a.rack == b.rack,
    }
}
