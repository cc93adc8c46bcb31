//! What a file of settings may not say, and the rule that it would break.

use pintally::interface::{Class, Idempotency, Role, Settings};

use crate::form::Form;
use crate::{ClassSettings, ConfigError, NodeSettings};

const LOST: &str = "no request is lost";
const TWICE: &str = "no effect happens twice";
const DRAINS: &str = "drains are kept";
const COLD: &str = "a cold engine is not pushed over";
const PINNED: &str = "nothing is left pinned";

/// Contradictions inside a class form that its values do not show.
pub(crate) fn class_form(form: &Form) -> Result<(), ConfigError> {
    if let Some(copies) = form.maybe("second-copies")? {
        let wanted = copies.yes()?;
        copies.finish()?;
        let effect = form.need("effect")?.text()?;
        if wanted && effect != "safe" {
            return Err(copies.breaks(TWICE, format!("a second copy of a request whose effect is {effect}")));
        }
        if wanted {
            return Err(copies.error("second copies are not made: never two attempts of a request at once"));
        }
    }
    Ok(())
}

/// A class against the rules' figures.
pub(crate) fn class(
    form: &Form,
    core: &Settings,
    class: &Class,
    more: &ClassSettings,
) -> Result<(), ConfigError> {
    if class.latency_objective > more.default_client_timeout {
        return Err(form.breaks(
            LOST,
            format!(
                "the aim of {} ms is past the {} ms that the client waits",
                class.latency_objective / 1000,
                more.default_client_timeout / 1000
            ),
        ));
    }
    if let Idempotency::WithKey(_, window) = class.effect {
        if core.max_attempts > 1 && window < more.default_client_timeout {
            return Err(form.breaks(
                TWICE,
                format!(
                    "attempts may outlast the window: repeats are dropped for {} ms, the client waits {} ms",
                    window / 1000,
                    more.default_client_timeout / 1000
                ),
            ));
        }
    }
    Ok(())
}

/// The figures of the rules against each other.
pub(crate) fn rules(form: &Form, core: &Settings) -> Result<(), ConfigError> {
    if core.overload_factor < 1.0 {
        return Err(form.breaks(COLD, "`tip-multiple` under 1 leaves a cold engine no work at all"));
    }
    if core.slow_start_duration > 0 && core.overload_window > core.slow_start_duration {
        return Err(form.breaks(COLD, "`tip-window-ms` is longer than `warm-after-ms`"));
    }
    if core.clients_honour_retry_after && core.max_retry_after == 0 {
        return Err(form.error("`retry-after` is yes, but `retry-after-most-ms` is 0"));
    }
    Ok(())
}

/// Whether the kinds can serve at all.
pub(crate) fn kinds(root: &Form, core: &Settings) -> Result<(), ConfigError> {
    let reads = core.kinds.iter().any(|k| k.role != Role::Writer);
    let writes = core.kinds.iter().any(|k| k.role != Role::Reader);
    let writer = core.kinds.iter().any(|k| k.role == Role::Writer);
    match (reads, writes) {
        (true, true) if core.writers_read_prompts && !writer => {
            Err(root.error("`writers-read` is yes, but no `kind` is a writer"))
        }
        (true, true) => Ok(()),
        (false, _) => Err(root.error("no `kind` reads: at least one must be a reader or mixed")),
        (_, false) => Err(root.error("no `kind` writes: at least one must be a writer or mixed")),
    }
}

/// The settings as a whole: time-outs that add up, queues that fit. An error stands at the setting
/// that it is about, or at the whole where that is a default.
pub fn check(root: &Form, s: &NodeSettings) -> Result<(), ConfigError> {
    let limits = &s.limits;
    let at = |outer: &str, inner: &str| -> Result<Option<Form>, ConfigError> {
        match root.maybe(outer)? {
            None => Ok(None),
            Some(form) => Ok(form.maybe(inner)?.or(Some(form))),
        }
    };
    let breaks = |place: Option<Form>, rule: &'static str, what: String| match place {
        Some(form) => form.breaks(rule, what),
        None => root.breaks(rule, what),
    };
    for (class, more) in s.core.classes.iter().zip(&s.classes) {
        let needed = limits.connect_timeout + limits.answer_margin;
        if needed >= more.default_client_timeout {
            return Err(breaks(
                at("limits", "connect-ms")?,
                LOST,
                format!(
                    "class `{}`: time to connect ({} ms) and the answer's margin ({} ms) add up past the \
                     client's patience ({} ms)",
                    class.name,
                    limits.connect_timeout / 1000,
                    limits.answer_margin / 1000,
                    more.default_client_timeout / 1000
                ),
            ));
        }
    }
    if limits.background_call_timeout > s.core.release_deadline {
        return Err(breaks(
            at("limits", "errand-ms")?,
            PINNED,
            format!(
                "a release may take {} ms, but what is held must be let go within {} ms",
                limits.background_call_timeout / 1000,
                s.core.release_deadline / 1000
            ),
        ));
    }
    if s.engines_poll_interval > 1_000_000 {
        let node = at("node", "engines")?;
        return Err(breaks(node, DRAINS, "the list of engines is looked at less than once a second".into()));
    }
    if limits.max_body_bytes > limits.max_total_body_bytes {
        let what = "`body-bytes` is more than `bodies-bytes`: one such body could never be taken";
        return Err(at("limits", "body-bytes")?.map_or_else(|| root.error(what), |form| form.error(what)));
    }
    if limits.max_open_requests > limits.max_connections {
        let what = "`held` is more than `connections`: each held request has a connection";
        return Err(at("limits", "held")?.map_or_else(|| root.error(what), |form| form.error(what)));
    }
    Ok(())
}
