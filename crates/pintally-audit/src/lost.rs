//! The rule that no request is lost: each request gets exactly one final answer before the client gives up,
//! and no attempt of it arrives at an engine after its end.

use crate::index::Index;

pub(crate) fn check(index: &Index) -> Vec<String> {
    let mut found = Vec::new();
    for t in index.tries.values() {
        let slack_us = index.slack_us(t.at, t.at + t.patience_us);
        if t.answers.len() > 1 || t.extra {
            found.push(format!("request {} at {} was answered more than once", t.request, t.node));
        }
        // The deadline applies to the first token of a streamed answer, and to the whole of any other.
        let deadline = t.at + t.patience_us + slack_us;
        let paused_us = |to| index.paused_us(t.node, t.at.saturating_sub(slack_us), to);
        let first_chunk = t.first.filter(|_| t.streamed);
        let answer_start = first_chunk.or(t.answers.first().map(|a| a.0));
        let excused = t.left.is_some() || index.died_with_node(t) || paused_us(deadline) > 0;
        match answer_start {
            None if !excused => found.push(format!("request {} at {} got no answer", t.request, t.node)),
            Some(at) if at > deadline + paused_us(at) => found.push(format!(
                "request {} at {} was answered {} ms after its client had given up",
                t.request,
                t.node,
                (at - t.at - t.patience_us) / 1000
            )),
            Some(_) if t.answers.is_empty() && !excused && !index.went_down(t.node, t.at, index.end_us) => {
                found.push(format!(
                    "request {} at {} began to be answered and never ended",
                    t.request, t.node
                ));
            }
            _ => {}
        }
        let Some((ended_at, _)) = t.answers.first().copied().or(t.left.map(|at| (at, crate::Answer::Failed)))
        else {
            continue;
        };
        for attempt in
            index.attempts_by_request.get(t.request).into_iter().flatten().map(|i| &index.attempts[*i])
        {
            if attempt.at > ended_at + index.slack_us(ended_at, attempt.at) {
                found.push(format!(
                    "attempt {} of request {} came to {} {} ms after the request's end",
                    attempt.name,
                    t.request,
                    attempt.engine,
                    (attempt.at - ended_at) / 1000
                ));
            }
        }
    }
    found
}
