//! Forms of a file: `(name value ... (key value ...) ...)`, read with their positions.
//!
//! Every value that is taken is marked; [`Form::finish`] rejects what nobody took, so that a misspelt key is
//! an error and never silently a default.

mod document;

use std::cell::{Cell, RefCell};

use lexpr::datum::Ref;
use lexpr::Value;
use pintally::interface::Micros;

use crate::ConfigError;

pub use self::document::{Document, MAX_FILE_BYTES};

const MICROS_PER_MILLI: f64 = 1e3;

/// A text as a file spells it, with quotes.
pub fn quoted(text: &str) -> String {
    Value::string(text).to_string()
}

/// A span in milliseconds, as files spell it.
pub(crate) fn millis(span: Micros) -> f64 {
    span as f64 / MICROS_PER_MILLI
}

/// Line and column in a file, both from 1.
#[derive(Clone, Copy)]
struct Position {
    line: usize,
    column: usize,
}

impl Position {
    /// Where a datum begins.
    fn of(datum: Ref) -> Position {
        let start = datum.span().start();
        Position { line: start.line(), column: start.column() + 1 }
    }

    fn error(self, file: &str, message: String) -> ConfigError {
        ConfigError { file: file.to_string(), line: self.line, column: self.column, message, rule: None }
    }
}

/// A list that begins with a name, and which of its parts have been taken.
pub struct Form<'a> {
    file: &'a str,
    name: &'a str,
    position: Position,
    /// Plain values behind the name, in order.
    values: Vec<Ref<'a>>,
    /// How many of them have been taken.
    values_taken: Cell<usize>,
    /// Inner forms by name, and whether each was taken.
    inner: Vec<(&'a str, Ref<'a>)>,
    inner_taken: RefCell<Vec<bool>>,
}

impl<'a> Form<'a> {
    pub(super) fn read(file: &'a str, datum: Ref<'a>) -> Result<Form<'a>, ConfigError> {
        let position = Position::of(datum);
        let fail = |what: &str| Err(position.error(file, what.to_string()));
        let Some(mut items) = datum.list_iter() else { return fail("expected a form `(name ...)`") };
        let Some(name) = items.next().and_then(|n| n.value().as_symbol()) else {
            return fail("a form must begin with a name");
        };
        let mut form = Form {
            file,
            name,
            position,
            values: Vec::new(),
            values_taken: Cell::new(0),
            inner: Vec::new(),
            inner_taken: RefCell::default(),
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
        form.inner_taken = RefCell::new(vec![false; form.inner.len()]);
        Ok(form)
    }

    /// The form's name.
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// An error at the position of this form.
    pub fn error(&self, what: impl Into<String>) -> ConfigError {
        self.position.error(self.file, what.into())
    }

    /// An error at the position of an inner form, or of this one if that is not there.
    pub(crate) fn error_at(&self, key: &str, what: impl Into<String>) -> Result<ConfigError, ConfigError> {
        let place = self.optional_form(key)?;
        Ok(place.as_ref().unwrap_or(self).error(what))
    }

    /// An error at the position of this form that names the rule it guards.
    pub fn rule_error(&self, rule: &'static str, what: impl Into<String>) -> ConfigError {
        ConfigError { rule: Some(rule), ..self.error(what) }
    }

    /// The source of inner forms of these names, for a file of another kind that holds them too. They do not
    /// count as taken.
    pub fn inner_source(&self, names: &[&str]) -> Vec<String> {
        self.inner
            .iter()
            .filter(|(name, _)| names.contains(name))
            .map(|(_, form)| form.value().to_string())
            .collect()
    }

    /// The next plain value behind the name.
    fn next_value(&self) -> Option<&'a Value> {
        let value = self.values.get(self.values_taken.get())?;
        self.values_taken.set(self.values_taken.get() + 1);
        Some(value.value())
    }

    /// The next plain value as text: a string or a bare word.
    ///
    /// # Errors
    ///
    /// No value is left, or it is a number.
    pub fn text(&self) -> Result<String, ConfigError> {
        match self.next_value() {
            Some(Value::String(s)) => Ok(s.to_string()),
            Some(Value::Symbol(s)) => Ok(s.to_string()),
            _ => Err(self.error(format!("`{}` needs a text", self.name))),
        }
    }

    /// The next plain value as text, if there is one.
    ///
    /// # Errors
    ///
    /// It is a number.
    pub fn optional_text(&self) -> Result<Option<String>, ConfigError> {
        if self.values_taken.get() >= self.values.len() {
            return Ok(None);
        }
        self.text().map(Some)
    }

    /// The next plain value as a number inside a range.
    ///
    /// # Errors
    ///
    /// No number, or one outside the range.
    pub fn number(&self, min: f64, max: f64) -> Result<f64, ConfigError> {
        let number = match self.next_value() {
            Some(Value::Number(n)) => n.as_f64(),
            _ => None,
        };
        let number = number.ok_or_else(|| self.error(format!("`{}` needs a number", self.name)))?;
        if !(min..=max).contains(&number) {
            return Err(self.error(format!("`{}` is {number}, outside {min} to {max}", self.name)));
        }
        Ok(number)
    }

    /// The next plain value as a whole number inside a range.
    ///
    /// # Errors
    ///
    /// No whole number, or one outside the range.
    pub fn count(&self, min: u64, max: u64) -> Result<u64, ConfigError> {
        let number = self.number(min as f64, max as f64)?;
        if number.fract() != 0.0 {
            return Err(self.error(format!("`{}` is {number}, not a whole number", self.name)));
        }
        Ok(number as u64)
    }

    /// The next plain value as yes or no.
    ///
    /// # Errors
    ///
    /// Another value, or none.
    pub fn boolean(&self) -> Result<bool, ConfigError> {
        match self.text()?.as_str() {
            "yes" => Ok(true),
            "no" => Ok(false),
            other => Err(self.error(format!("`{}` is `{other}`, not yes or no", self.name))),
        }
    }

    /// All inner forms of a name, in order.
    ///
    /// # Errors
    ///
    /// One of them holds something that is not a form.
    pub fn forms_named(&self, key: &str) -> Result<Vec<Form<'a>>, ConfigError> {
        let mut found = Vec::new();
        for (index, (name, datum)) in self.inner.iter().enumerate() {
            if *name == key {
                self.inner_taken.borrow_mut()[index] = true;
                found.push(Form::read(self.file, *datum)?);
            }
        }
        Ok(found)
    }

    /// The inner form of a name, if it is there.
    ///
    /// # Errors
    ///
    /// It is there twice.
    pub fn optional_form(&self, key: &str) -> Result<Option<Form<'a>>, ConfigError> {
        let mut found = self.forms_named(key)?;
        match found.len() {
            0 => Ok(None),
            1 => Ok(found.pop()),
            _ => Err(found[1].error(format!("`{key}` is given twice"))),
        }
    }

    /// The inner form of a name, which must be there.
    ///
    /// # Errors
    ///
    /// It is there twice, or not at all.
    pub fn required_form(&self, key: &str) -> Result<Form<'a>, ConfigError> {
        self.optional_form(key)?.ok_or_else(|| self.error(format!("`{}` lacks `({key} ...)`", self.name)))
    }

    /// The inner key's text, or a default.
    ///
    /// # Errors
    ///
    /// The key is there twice, or holds anything but one text.
    pub fn text_or(&self, key: &str, default: &str) -> Result<String, ConfigError> {
        self.inner_value(key, default.to_string(), Form::text)
    }

    /// The inner key's number, or a default.
    ///
    /// # Errors
    ///
    /// The key is there twice, or holds anything but one number of the range.
    pub fn number_or(&self, key: &str, default: f64, min: f64, max: f64) -> Result<f64, ConfigError> {
        self.inner_value(key, default, |f| f.number(min, max))
    }

    /// The inner key's whole number, or a default.
    ///
    /// # Errors
    ///
    /// The key is there twice, or holds anything but one whole number of the range.
    pub fn count_or(&self, key: &str, default: u64, min: u64, max: u64) -> Result<u64, ConfigError> {
        self.inner_value(key, default, |f| f.count(min, max))
    }

    /// The inner key's yes or no, or a default.
    ///
    /// # Errors
    ///
    /// The key is there twice, or holds anything but yes or no.
    pub fn boolean_or(&self, key: &str, default: bool) -> Result<bool, ConfigError> {
        self.inner_value(key, default, Form::boolean)
    }

    /// The inner key's milliseconds as microseconds, or a default in milliseconds.
    ///
    /// # Errors
    ///
    /// The key is there twice, or holds anything but one number of the range.
    pub fn millis_or(&self, key: &str, default: f64, min: f64, max: f64) -> Result<u64, ConfigError> {
        Ok((self.number_or(key, default, min, max)? * MICROS_PER_MILLI).round() as u64)
    }

    /// The value of an inner form that holds nothing else, or a default.
    fn inner_value<T>(
        &self,
        key: &str,
        default: T,
        take: impl Fn(&Form<'a>) -> Result<T, ConfigError>,
    ) -> Result<T, ConfigError> {
        let Some(form) = self.optional_form(key)? else { return Ok(default) };
        let value = take(&form)?;
        form.finish()?;
        Ok(value)
    }

    /// Rejects what nobody has taken.
    ///
    /// # Errors
    ///
    /// A value or an inner form that is left.
    pub fn finish(&self) -> Result<(), ConfigError> {
        if self.values_taken.get() < self.values.len() {
            let position = Position::of(self.values[self.values_taken.get()]);
            return Err(position.error(self.file, format!("`{}` holds a value too many", self.name)));
        }
        let taken = self.inner_taken.borrow();
        let Some(((key, datum), _)) = self.inner.iter().zip(taken.iter()).find(|(_, taken)| !**taken) else {
            return Ok(());
        };
        let message = format!("unknown key `{key}` in `{}`", self.name);
        Err(Position::of(*datum).error(self.file, message))
    }
}
