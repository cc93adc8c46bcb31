//! Request classes: `(class ...)`.

use pintally::interface::{Class, Idempotency, IdempotencyScope, Micros, Settings};

use crate::form::Form;
use crate::{check, ConfigError};

/// What the node needs to know of a class beside what the core does.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// How long its clients wait, in microseconds, where a request does not say.
    pub default_client_timeout: Micros,
    /// The most tokens of an answer where a request does not say.
    pub max_tokens: u64,
}

/// Reads all classes: into the core's settings, and what the node needs beside them in the same order.
pub(crate) fn read(root: &Form, core: &mut Settings) -> Result<Vec<ClassSettings>, ConfigError> {
    let mut classes = Vec::new();
    for form in root.forms_named("class")? {
        let (class, settings) = read_form(&form)?;
        if core.classes.iter().any(|other| other.name == class.name) {
            return Err(form.error(format!("class `{}` is given twice", class.name)));
        }
        check::class(&form, core, &class, &settings)?;
        core.classes.push(class);
        classes.push(settings);
    }
    if classes.is_empty() {
        return Err(root.error("`pintally` lacks `(class ...)`"));
    }
    Ok(classes)
}

fn read_form(form: &Form) -> Result<(Class, ClassSettings), ConfigError> {
    let class = Class {
        name: form.text()?,
        idempotency: idempotency(form)?,
        latency_objective: form.millis_or("aim-ms", 1000.0, 1.0, 3_600_000.0)?,
        latency_objective_per_1000_tokens: form.millis_or("aim-per-1000-tokens-ms", 0.0, 0.0, 600_000.0)?,
        token_interval_objective: form.millis_or("token-aim-ms", 0.0, 0.0, 60_000.0)?,
        priority_weight: form.number_or("worth", 1.0, 0.0, 1e9)?,
        late_weight_fraction: form.number_or("late-share", 0.0, 0.0, 1.0)?,
    };
    let settings = ClassSettings {
        default_client_timeout: form.millis_or("patience-ms", 5000.0, 1.0, 3_600_000.0)?,
        max_tokens: form.count_or("max-tokens", 256, 1, 1 << 20)?,
    };
    check::class_form(form)?;
    form.finish()?;
    Ok((class, settings))
}

fn idempotency(form: &Form) -> Result<Idempotency, ConfigError> {
    let effect = form.required_form("effect")?;
    let idempotency = match effect.text()?.as_str() {
        "safe" => Idempotency::Idempotent,
        "unsafe" => Idempotency::NotIdempotent,
        "keyed" => {
            let scope = idempotency_scope(&effect)?;
            Idempotency::WithKey(scope, effect.millis_or("window-ms", 0.0, 1.0, 86_400_000.0)?)
        }
        other => return Err(effect.error(format!("`effect` is `{other}`, not safe, keyed or unsafe"))),
    };
    effect.finish()?;
    Ok(idempotency)
}

fn idempotency_scope(effect: &Form) -> Result<IdempotencyScope, ConfigError> {
    match effect.text_or("group", "")?.as_str() {
        "all" => Ok(IdempotencyScope::All),
        "zone" => Ok(IdempotencyScope::Zone),
        "rack" => Ok(IdempotencyScope::Rack),
        other => Err(effect.error(format!("`group` is `{other}`, not all, zone or rack"))),
    }
}
