//! Contradictions between settings, each with the rule of the service that it would break.

use pintally::interface::{Class, Idempotency, Micros, Role, Settings};

use crate::form::Form;
use crate::{rule, ClassSettings, ConfigError, NodeSettings};

const MICROS_PER_MILLI: Micros = 1000;
/// The longest between two reads of the endpoint list: a drain is followed within it.
const MAX_POLL_INTERVAL: Micros = 1_000_000;

/// Contradictions inside a class form that its values do not show.
pub(crate) fn class_form(form: &Form) -> Result<(), ConfigError> {
    if let Some(copies) = form.optional_form("second-copies")? {
        let wanted = copies.boolean()?;
        copies.finish()?;
        let effect = form.required_form("effect")?.text()?;
        if wanted && effect != "safe" {
            return Err(copies.rule_error(
                rule::NO_EFFECT_TWICE,
                format!("a second copy of a request whose effect is {effect}"),
            ));
        }
        if wanted {
            return Err(copies.error("second copies are not made: never two attempts of a request at once"));
        }
    }
    Ok(())
}

/// A class against the settings of the router.
pub(crate) fn class(
    form: &Form,
    core: &Settings,
    class: &Class,
    settings: &ClassSettings,
) -> Result<(), ConfigError> {
    if class.latency_objective > settings.default_client_timeout {
        return Err(form.rule_error(
            rule::NO_REQUEST_LOST,
            format!(
                "the aim of {} ms is past the {} ms that the client waits",
                class.latency_objective / MICROS_PER_MILLI,
                settings.default_client_timeout / MICROS_PER_MILLI
            ),
        ));
    }
    if let Idempotency::WithKey(_, window) = class.idempotency {
        if core.max_attempts > 1 && window < settings.default_client_timeout {
            return Err(form.rule_error(
                rule::NO_EFFECT_TWICE,
                format!(
                    "attempts may outlast the window: repeats are dropped for {} ms, the client waits {} ms",
                    window / MICROS_PER_MILLI,
                    settings.default_client_timeout / MICROS_PER_MILLI
                ),
            ));
        }
    }
    Ok(())
}

/// The settings of the router against each other.
pub(crate) fn rules(form: &Form, core: &Settings) -> Result<(), ConfigError> {
    if core.overload_factor < 1.0 {
        return Err(form.rule_error(
            rule::COLD_ENGINES_PROTECTED,
            "`tip-multiple` under 1 leaves a cold engine no work at all",
        ));
    }
    if core.slow_start_duration > 0 && core.overload_window > core.slow_start_duration {
        return Err(
            form.rule_error(rule::COLD_ENGINES_PROTECTED, "`tip-window-ms` is longer than `warm-after-ms`")
        );
    }
    if core.clients_honour_retry_after && core.max_retry_after == 0 {
        return Err(form.error("`retry-after` is yes, but `retry-after-most-ms` is 0"));
    }
    Ok(())
}

/// Whether the kinds can serve at all.
pub(crate) fn kinds(root: &Form, core: &Settings) -> Result<(), ConfigError> {
    let reads = core.engine_kinds.iter().any(|k| k.role != Role::Writer);
    let writes = core.engine_kinds.iter().any(|k| k.role != Role::Reader);
    let writer = core.engine_kinds.iter().any(|k| k.role == Role::Writer);
    match (reads, writes) {
        (true, true) if core.writers_read_prompts && !writer => {
            Err(root.error("`writers-read` is yes, but no `kind` is a writer"))
        }
        (true, true) => Ok(()),
        (false, _) => Err(root.error("no `kind` reads: at least one must be a reader or mixed")),
        (_, false) => Err(root.error("no `kind` writes: at least one must be a writer or mixed")),
    }
}

/// The settings against each other: timeouts that add up, limits that fit. An error stands at the setting
/// that it is about, or at the whole file where that is a default.
///
/// # Errors
///
/// The first contradiction.
pub fn check(root: &Form, settings: &NodeSettings) -> Result<(), ConfigError> {
    check_client_timeouts(root, settings)?;
    check_release_deadline(root, settings)?;
    if settings.engines_poll_interval > MAX_POLL_INTERVAL {
        let what = "the list of engines is looked at less than once a second";
        return Err(rule_error(root, "node", "engines", rule::DRAINS_RESPECTED, what.into())?);
    }
    let limits = &settings.limits;
    if limits.max_body_bytes > limits.max_total_body_bytes {
        let what = "`body-bytes` is more than `bodies-bytes`: one such body could never be taken";
        return Err(limit_error(root, "body-bytes", what)?);
    }
    if limits.max_open_requests > limits.max_connections {
        let what = "`held` is more than `connections`: each held request has a connection";
        return Err(limit_error(root, "held", what)?);
    }
    Ok(())
}

/// Each class leaves time for an attempt and for its answer.
fn check_client_timeouts(root: &Form, settings: &NodeSettings) -> Result<(), ConfigError> {
    let limits = &settings.limits;
    for (class, class_settings) in settings.core.classes.iter().zip(&settings.classes) {
        let needed = limits.connect_timeout + limits.answer_margin;
        if needed < class_settings.default_client_timeout {
            continue;
        }
        let what = format!(
            "class `{}`: time to connect ({} ms) and the answer's margin ({} ms) add up past the client's \
             patience ({} ms)",
            class.name,
            limits.connect_timeout / MICROS_PER_MILLI,
            limits.answer_margin / MICROS_PER_MILLI,
            class_settings.default_client_timeout / MICROS_PER_MILLI
        );
        return Err(rule_error(root, "limits", "connect-ms", rule::NO_REQUEST_LOST, what)?);
    }
    Ok(())
}

/// A release ends before its deadline, so that it can be repeated.
fn check_release_deadline(root: &Form, settings: &NodeSettings) -> Result<(), ConfigError> {
    let timeout = settings.limits.background_call_timeout;
    let deadline = settings.core.release_deadline;
    if timeout <= deadline {
        return Ok(());
    }
    let what = format!(
        "a release may take {} ms, but what is held must be let go within {} ms",
        timeout / MICROS_PER_MILLI,
        deadline / MICROS_PER_MILLI
    );
    Err(rule_error(root, "limits", "errand-ms", rule::NO_RESERVATION_LEFT, what)?)
}

/// The form of a setting: the inner form, or the outer one where that is a default; `None` where both are.
fn setting_form<'a>(root: &Form<'a>, outer: &str, inner: &str) -> Result<Option<Form<'a>>, ConfigError> {
    let Some(form) = root.optional_form(outer)? else { return Ok(None) };
    Ok(Some(form.optional_form(inner)?.unwrap_or(form)))
}

/// An error at a setting that names the rule it guards.
fn rule_error(
    root: &Form,
    outer: &str,
    inner: &str,
    rule: &'static str,
    what: String,
) -> Result<ConfigError, ConfigError> {
    let form = setting_form(root, outer, inner)?;
    Ok(form.as_ref().unwrap_or(root).rule_error(rule, what))
}

/// An error at a setting of `(limits ...)`.
fn limit_error(root: &Form, key: &str, what: &str) -> Result<ConfigError, ConfigError> {
    let form = setting_form(root, "limits", key)?;
    Ok(form.as_ref().unwrap_or(root).error(what))
}
