//! Checks that settings are consistent with each other. An error names the rule of the service that the
//! settings would violate, if there is one.

use pintally::interface::{Class, Idempotency, Micros, Role, Settings};

use crate::form::Form;
use crate::{rule, ClassSettings, ConfigError, NodeSettings};

const MICROS_PER_MILLI: Micros = 1000;
/// The maximum time between two reads of the endpoint list, which bounds the delay until a node follows a drain.
const MAX_POLL_INTERVAL_US: Micros = 1_000_000;

/// Checks the keys of a class form that are not stored in the settings.
pub(crate) fn class_form(form: &Form) -> Result<(), ConfigError> {
    if let Some(copies) = form.optional_form("second-copies")? {
        let enabled = copies.boolean()?;
        copies.finish()?;
        let effect = form.required_form("effect")?.text()?;
        if enabled && effect != "safe" {
            return Err(copies.rule_error(
                rule::NO_EFFECT_TWICE,
                format!("`second-copies`: must be no for `effect` {effect}: a second copy could repeat the effect"),
            ));
        }
        if enabled {
            return Err(copies.error("`second-copies`: must be no: a request never has two attempts at once"));
        }
    }
    Ok(())
}

/// Checks a class, also against the settings of the router.
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
                "`aim-ms`: must be at most `patience-ms` ({} ms), the time that the client waits, not {} ms",
                settings.default_client_timeout / MICROS_PER_MILLI,
                class.latency_objective / MICROS_PER_MILLI
            ),
        ));
    }
    if let Idempotency::WithKey(_, window) = class.idempotency {
        if core.max_attempts > 1 && window < settings.default_client_timeout {
            return Err(form.rule_error(
                rule::NO_EFFECT_TWICE,
                format!(
                    "`window-ms`: must be at least `patience-ms` ({} ms), not {} ms: a retry after the window \
                     would not be dropped as a repeat",
                    settings.default_client_timeout / MICROS_PER_MILLI,
                    window / MICROS_PER_MILLI
                ),
            ));
        }
    }
    Ok(())
}

/// Checks that the settings of the router are consistent with each other.
pub(crate) fn rules(form: &Form, core: &Settings) -> Result<(), ConfigError> {
    if core.overload_factor < 1.0 {
        return Err(form.rule_error(
            rule::COLD_ENGINES_PROTECTED,
            "`tip-multiple`: must be at least 1: with less a cold engine would get no work at all",
        ));
    }
    if core.slow_start_duration > 0 && core.overload_window > core.slow_start_duration {
        return Err(form.rule_error(
            rule::COLD_ENGINES_PROTECTED,
            "`tip-window-ms`: must be at most `warm-after-ms`, unless that is 0",
        ));
    }
    if core.clients_honour_retry_after && core.max_retry_after == 0 {
        return Err(form.error("`retry-after-most-ms`: must not be 0 if `retry-after` is yes"));
    }
    Ok(())
}

/// Checks that the engine kinds can both read prompts and write answers.
pub(crate) fn kinds(root: &Form, core: &Settings) -> Result<(), ConfigError> {
    let reads = core.engine_kinds.iter().any(|k| k.role != Role::Writer);
    let writes = core.engine_kinds.iter().any(|k| k.role != Role::Reader);
    let writer = core.engine_kinds.iter().any(|k| k.role == Role::Writer);
    match (reads, writes) {
        (true, true) if core.writers_read_prompts && !writer => {
            Err(root.error("`rules.writers-read`: must be no if no `kind` is a writer"))
        }
        (true, true) => Ok(()),
        (false, _) => Err(root.error("`kind`: at least one must have the `role` reader or mixed")),
        (_, false) => Err(root.error("`kind`: at least one must have the `role` writer or mixed")),
    }
}

/// Checks that the timeouts and limits are consistent with each other. An error has the position of the setting
/// in question, or of the form around it if the setting has its default value.
///
/// # Errors
///
/// Fails at the first inconsistency.
pub fn check(root: &Form, settings: &NodeSettings) -> Result<(), ConfigError> {
    check_client_timeouts(root, settings)?;
    check_release_deadline(root, settings)?;
    if settings.engines_poll_interval > MAX_POLL_INTERVAL_US {
        let message =
            "`node.engines.every-ms`: must be at most 1000 ms, so that a node follows a drain within \
                       one second";
        return Err(rule_error(root, "node", "engines", rule::DRAINS_RESPECTED, message.into())?);
    }
    let limits = &settings.limits;
    if limits.max_body_bytes > limits.max_total_body_bytes {
        let message =
            "`limits.body-bytes`: must be at most `limits.bodies-bytes`: a larger body could never be accepted";
        return Err(limit_error(root, "body-bytes", message)?);
    }
    if limits.max_open_requests > limits.max_connections {
        let message =
            "`limits.held`: must be at most `limits.connections`: each request in flight occupies a connection";
        return Err(limit_error(root, "held", message)?);
    }
    Ok(())
}

/// Checks that the client timeout of each class leaves time for an attempt and for its answer.
fn check_client_timeouts(root: &Form, settings: &NodeSettings) -> Result<(), ConfigError> {
    let limits = &settings.limits;
    for (class, class_settings) in settings.core.classes.iter().zip(&settings.classes) {
        let needed = limits.connect_timeout + limits.answer_margin;
        if needed < class_settings.default_client_timeout {
            continue;
        }
        let message = format!(
            "`limits.connect-ms`: {} ms plus `limits.answer-margin-ms` ({} ms) must be below `patience-ms` of \
             class `{}` ({} ms)",
            limits.connect_timeout / MICROS_PER_MILLI,
            limits.answer_margin / MICROS_PER_MILLI,
            class.name,
            class_settings.default_client_timeout / MICROS_PER_MILLI
        );
        return Err(rule_error(root, "limits", "connect-ms", rule::NO_REQUEST_LOST, message)?);
    }
    Ok(())
}

/// Checks that a release call ends within the release deadline, so that it can be repeated.
fn check_release_deadline(root: &Form, settings: &NodeSettings) -> Result<(), ConfigError> {
    let timeout = settings.limits.background_call_timeout;
    let deadline = settings.core.release_deadline;
    if timeout <= deadline {
        return Ok(());
    }
    let message = format!(
        "`limits.errand-ms`: must be at most `rules.release-within-ms` ({} ms), not {} ms: a release call must \
         end before the reservation has to be released",
        deadline / MICROS_PER_MILLI,
        timeout / MICROS_PER_MILLI
    );
    Err(rule_error(root, "limits", "errand-ms", rule::NO_RESERVATION_LEFT, message)?)
}

/// The form of a setting: the inner form, or the outer form if the inner one is missing; `None` if both are missing.
fn setting_form<'a>(root: &Form<'a>, outer: &str, inner: &str) -> Result<Option<Form<'a>>, ConfigError> {
    let Some(form) = root.optional_form(outer)? else { return Ok(None) };
    Ok(Some(form.optional_form(inner)?.unwrap_or(form)))
}

/// An error at the position of a setting, with the rule that the setting would violate.
fn rule_error(
    root: &Form,
    outer: &str,
    inner: &str,
    rule: &'static str,
    message: String,
) -> Result<ConfigError, ConfigError> {
    let form = setting_form(root, outer, inner)?;
    Ok(form.as_ref().unwrap_or(root).rule_error(rule, message))
}

/// An error at the position of a setting of `(limits ...)`.
fn limit_error(root: &Form, key: &str, message: &str) -> Result<ConfigError, ConfigError> {
    let form = setting_form(root, "limits", key)?;
    Ok(form.as_ref().unwrap_or(root).error(message))
}
