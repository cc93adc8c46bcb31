//! Forms of a file: `(name value ... (key value ...) ...)`, with their positions.
//!
//! A form records which of its values and inner forms have been read. [`Form::finish`] rejects the others, so
//! that a misspelt key is an error instead of silently leaving the default in force.

mod document;

use std::cell::{Cell, RefCell};

use lexpr::datum::Ref;
use lexpr::Value;
use pintally::interface::Micros;

use crate::ConfigError;

pub use self::document::{Document, MAX_FILE_BYTES};

const MICROS_PER_MILLI: f64 = 1e3;

/// A text as a quoted string of the file format.
pub fn quoted(text: &str) -> String {
    Value::string(text).to_string()
}

/// A duration in milliseconds, the unit of the file format.
pub(crate) fn millis(duration: Micros) -> f64 {
    duration as f64 / MICROS_PER_MILLI
}

/// A line and a column of a file, both counted from 1.
#[derive(Clone, Copy)]
struct Position {
    line: usize,
    column: usize,
}

impl Position {
    /// The start of an expression.
    fn of(datum: Ref) -> Position {
        let start = datum.span().start();
        Position { line: start.line(), column: start.column() + 1 }
    }

    fn error(self, file: &str, message: String) -> ConfigError {
        ConfigError { file: file.to_string(), line: self.line, column: self.column, message, rule: None }
    }
}

/// A list that starts with a name, and a record of which of its parts have been read.
pub struct Form<'a> {
    file: &'a str,
    name: &'a str,
    position: Position,
    /// The values that are not forms, in order.
    values: Vec<Ref<'a>>,
    /// The number of values that have been read.
    values_read: Cell<usize>,
    /// The inner forms with their names, in order.
    inner: Vec<(&'a str, Ref<'a>)>,
    /// Whether each inner form has been read.
    inner_read: RefCell<Vec<bool>>,
}

impl<'a> Form<'a> {
    pub(super) fn read(file: &'a str, datum: Ref<'a>) -> Result<Form<'a>, ConfigError> {
        let position = Position::of(datum);
        let fail = |message: &str| Err(position.error(file, message.to_string()));
        let Some(mut items) = datum.list_iter() else { return fail("expected a form `(name ...)`") };
        let Some(name) = items.next().and_then(|n| n.value().as_symbol()) else {
            return fail("a form must begin with a name");
        };
        let mut form = Form {
            file,
            name,
            position,
            values: Vec::new(),
            values_read: Cell::new(0),
            inner: Vec::new(),
            inner_read: RefCell::default(),
        };
        for item in items {
            match item.list_iter() {
                Some(mut list) => {
                    let Some(key) = list.next().and_then(|k| k.value().as_symbol()) else {
                        return fail("an inner form must begin with a name");
                    };
                    form.inner.push((key, item));
                }
                None => form.values.push(item),
            }
        }
        form.inner_read = RefCell::new(vec![false; form.inner.len()]);
        Ok(form)
    }

    /// The form's name.
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// An error at the position of this form.
    pub fn error(&self, message: impl Into<String>) -> ConfigError {
        self.position.error(self.file, message.into())
    }

    /// An error at the position of an inner form, or of this form if there is no such inner form.
    pub(crate) fn error_at(&self, key: &str, message: impl Into<String>) -> Result<ConfigError, ConfigError> {
        let inner = self.optional_form(key)?;
        Ok(inner.as_ref().unwrap_or(self).error(message))
    }

    /// An error at the position of this form, with the rule that the setting would violate.
    pub fn rule_error(&self, rule: &'static str, message: impl Into<String>) -> ConfigError {
        ConfigError { rule: Some(rule), ..self.error(message) }
    }

    /// The source text of the inner forms with these names, for use in another file. This does not mark the
    /// forms as read.
    pub fn inner_source(&self, names: &[&str]) -> Vec<String> {
        self.inner
            .iter()
            .filter(|(name, _)| names.contains(name))
            .map(|(_, form)| form.value().to_string())
            .collect()
    }

    /// The next value that is not a form.
    fn next_value(&self) -> Option<&'a Value> {
        let value = self.values.get(self.values_read.get())?;
        self.values_read.set(self.values_read.get() + 1);
        Some(value.value())
    }

    /// The next value as text: a string or an unquoted word.
    ///
    /// # Errors
    ///
    /// Fails if no value is left, or if it is neither a string nor a word.
    pub fn text(&self) -> Result<String, ConfigError> {
        match self.next_value() {
            Some(Value::String(s)) => Ok(s.to_string()),
            Some(Value::Symbol(s)) => Ok(s.to_string()),
            _ => Err(self.error(format!("`{}`: must be a string or a word", self.name))),
        }
    }

    /// The next value as text, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the value is neither a string nor a word.
    pub fn optional_text(&self) -> Result<Option<String>, ConfigError> {
        if self.values_read.get() >= self.values.len() {
            return Ok(None);
        }
        self.text().map(Some)
    }

    /// The next value as a number from `min` to `max`.
    ///
    /// # Errors
    ///
    /// Fails if no value is left, or if it is not a number of the range.
    pub fn number(&self, min: f64, max: f64) -> Result<f64, ConfigError> {
        let number = match self.next_value() {
            Some(Value::Number(n)) => n.as_f64(),
            _ => None,
        };
        let number = number.ok_or_else(|| self.error(format!("`{}`: must be a number", self.name)))?;
        if !(min..=max).contains(&number) {
            return Err(self.error(format!("`{}`: must be from {min} to {max}, not {number}", self.name)));
        }
        Ok(number)
    }

    /// The next value as a whole number from `min` to `max`.
    ///
    /// # Errors
    ///
    /// Fails if no value is left, or if it is not a whole number of the range.
    pub fn count(&self, min: u64, max: u64) -> Result<u64, ConfigError> {
        let number = self.number(min as f64, max as f64)?;
        if number.fract() != 0.0 {
            return Err(self.error(format!("`{}`: must be a whole number, not {number}", self.name)));
        }
        Ok(number as u64)
    }

    /// The next value as a boolean, written `yes` or `no`.
    ///
    /// # Errors
    ///
    /// Fails if no value is left, or if it is neither `yes` nor `no`.
    pub fn boolean(&self) -> Result<bool, ConfigError> {
        match self.text()?.as_str() {
            "yes" => Ok(true),
            "no" => Ok(false),
            other => Err(self.error(format!("`{}`: must be yes or no, not `{other}`", self.name))),
        }
    }

    /// All inner forms with this name, in order.
    ///
    /// # Errors
    ///
    /// Fails if one of them holds a list that is not a form.
    pub fn forms_named(&self, key: &str) -> Result<Vec<Form<'a>>, ConfigError> {
        let mut found = Vec::new();
        for (index, (name, datum)) in self.inner.iter().enumerate() {
            if *name == key {
                self.inner_read.borrow_mut()[index] = true;
                found.push(Form::read(self.file, *datum)?);
            }
        }
        Ok(found)
    }

    /// The inner form with this name, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the form is given more than once.
    pub fn optional_form(&self, key: &str) -> Result<Option<Form<'a>>, ConfigError> {
        let mut found = self.forms_named(key)?;
        match found.len() {
            0 => Ok(None),
            1 => Ok(found.pop()),
            _ => Err(found[1].error(format!("`{key}`: must not be given twice"))),
        }
    }

    /// The inner form with this name, which is required.
    ///
    /// # Errors
    ///
    /// Fails if the form is missing or given more than once.
    pub fn required_form(&self, key: &str) -> Result<Form<'a>, ConfigError> {
        self.optional_form(key)?.ok_or_else(|| self.error(format!("`{}`: requires `({key} ...)`", self.name)))
    }

    /// The text of the inner form `key`, or the default if there is no such form.
    ///
    /// # Errors
    ///
    /// Fails if the form is given more than once or does not hold exactly one string or word.
    pub fn text_or(&self, key: &str, default: &str) -> Result<String, ConfigError> {
        self.inner_value(key, default.to_string(), Form::text)
    }

    /// The number in the inner form `key`, or the default if there is no such form.
    ///
    /// # Errors
    ///
    /// Fails if the form is given more than once or does not hold exactly one number of the range.
    pub fn number_or(&self, key: &str, default: f64, min: f64, max: f64) -> Result<f64, ConfigError> {
        self.inner_value(key, default, |f| f.number(min, max))
    }

    /// The whole number in the inner form `key`, or the default if there is no such form.
    ///
    /// # Errors
    ///
    /// Fails if the form is given more than once or does not hold exactly one whole number of the range.
    pub fn count_or(&self, key: &str, default: u64, min: u64, max: u64) -> Result<u64, ConfigError> {
        self.inner_value(key, default, |f| f.count(min, max))
    }

    /// The boolean in the inner form `key`, or the default if there is no such form.
    ///
    /// # Errors
    ///
    /// Fails if the form is given more than once or does not hold exactly `yes` or `no`.
    pub fn boolean_or(&self, key: &str, default: bool) -> Result<bool, ConfigError> {
        self.inner_value(key, default, Form::boolean)
    }

    /// The duration in the inner form `key`, converted from milliseconds to microseconds. The default and the
    /// range are in milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if the form is given more than once or does not hold exactly one number of the range.
    pub fn millis_or(&self, key: &str, default: f64, min: f64, max: f64) -> Result<u64, ConfigError> {
        Ok((self.number_or(key, default, min, max)? * MICROS_PER_MILLI).round() as u64)
    }

    /// The value of an inner form that holds nothing else, or the default if there is no such form.
    fn inner_value<T>(
        &self,
        key: &str,
        default: T,
        read: impl Fn(&Form<'a>) -> Result<T, ConfigError>,
    ) -> Result<T, ConfigError> {
        let Some(form) = self.optional_form(key)? else { return Ok(default) };
        let value = read(&form)?;
        form.finish()?;
        Ok(value)
    }

    /// Checks that all values and inner forms have been read.
    ///
    /// # Errors
    ///
    /// Fails at the first value or inner form that has not been read.
    pub fn finish(&self) -> Result<(), ConfigError> {
        if self.values_read.get() < self.values.len() {
            let position = Position::of(self.values[self.values_read.get()]);
            return Err(position.error(self.file, format!("`{}`: must not hold further values", self.name)));
        }
        let inner_read = self.inner_read.borrow();
        let Some(((key, datum), _)) = self.inner.iter().zip(inner_read.iter()).find(|(_, read)| !**read)
        else {
            return Ok(());
        };
        let message = format!("unknown key `{key}` in `{}`", self.name);
        Err(Position::of(*datum).error(self.file, message))
    }
}
