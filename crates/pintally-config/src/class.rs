//! Request classes: `(class ...)`.

use pintally::interface::{Class, Idempotency, IdempotencyScope, Micros, Settings};

use crate::form::Form;
use crate::{check, ConfigError};

/// The settings of a class that the node uses in addition to those of the core.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// How long a client waits if its request gives no timeout, in microseconds.
    pub default_client_timeout: Micros,
    /// The maximum number of tokens of an answer if the request gives none.
    pub max_tokens: u64,
}

/// Reads all classes into the core's settings; returns their other settings in the same order.
pub(crate) fn read(root: &Form, core: &mut Settings) -> Result<Vec<ClassSettings>, ConfigError> {
    let mut classes = Vec::new();
    for form in root.forms_named("class")? {
        let (class, settings) = read_form(&form)?;
        if core.classes.iter().any(|other| other.name == class.name) {
            return Err(form.error(format!("`class`: the name `{}` must not be used twice", class.name)));
        }
        check::class(&form, core, &class, &settings)?;
        core.classes.push(class);
        classes.push(settings);
    }
    if classes.is_empty() {
        return Err(root.error("`pintally`: requires at least one `(class ...)`"));
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
        other => return Err(effect.error(format!("`effect`: must be safe, keyed or unsafe, not `{other}`"))),
    };
    effect.finish()?;
    Ok(idempotency)
}

fn idempotency_scope(effect: &Form) -> Result<IdempotencyScope, ConfigError> {
    match effect.text_or("group", "")?.as_str() {
        "all" => Ok(IdempotencyScope::All),
        "zone" => Ok(IdempotencyScope::Zone),
        "rack" => Ok(IdempotencyScope::Rack),
        other => Err(effect.error(format!("`effect.group`: must be all, zone or rack, not `{other}`"))),
    }
}
