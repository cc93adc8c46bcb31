//! Forms of a file: `(name value ... (key value ...) ...)`, read with their places.
//!
//! Every value that is taken is marked; [`Form::finish`] refuses what nobody took, so that a
//! misspelt key is an error and never silently a default.

use std::cell::{Cell, RefCell};

use lexpr::datum::Ref;
use lexpr::{Datum, Parser, Value};

use crate::ConfigError;

/// The largest file that is read.
pub const MAX_FILE: usize = 16 << 20;
/// The deepest nesting that is read: the parser recurses.
const MAX_DEPTH: usize = 64;

/// A text as it stands in a file.
pub fn quoted(text: &str) -> String {
    Value::string(text).to_string()
}

/// The text of a file, parsed.
pub struct Document {
    file: String,
    data: Vec<Datum>,
}

/// A list that begins with a name, and which of its parts have been taken.
pub struct Form<'a> {
    file: &'a str,
    name: &'a str,
    place: (usize, usize),
    /// Plain values behind the name, in order.
    values: Vec<Ref<'a>>,
    taken: Cell<usize>,
    /// Inner forms, and whether each was taken.
    inner: Vec<(&'a str, Ref<'a>)>,
    used: RefCell<Vec<bool>>,
}

impl Document {
    /// Parses a text; `file` is used in errors only.
    pub fn parse(file: &str, text: &str) -> Result<Document, ConfigError> {
        let error = |line, column, what: String| ConfigError {
            file: file.to_string(),
            line,
            column,
            what,
            rule: None,
        };
        if text.len() > MAX_FILE {
            return Err(error(0, 0, format!("the file is larger than {MAX_FILE} bytes")));
        }
        if let Some(line) = too_deep(text) {
            return Err(error(line, 1, format!("lists are nested more than {MAX_DEPTH} deep")));
        }
        let mut parser = Parser::from_str(text);
        let mut data = Vec::new();
        loop {
            match parser.next_datum() {
                Ok(Some(datum)) => data.push(datum),
                Ok(None) => return Ok(Document { file: file.to_string(), data }),
                Err(e) => {
                    let at = e.location().map_or((0, 0), |l| (l.line(), l.column() + 1));
                    let text = e.to_string();
                    let what = text.split(" at line ").next().unwrap_or(&text);
                    return Err(error(at.0, at.1, format!("not an S-expression: {what}")));
                }
            }
        }
    }

    /// All forms at the top of the file.
    pub fn forms(&self) -> Result<Vec<Form<'_>>, ConfigError> {
        self.data.iter().map(|d| Form::read(&self.file, d.as_ref())).collect()
    }

    /// The only form of a name at the top of the file, which must hold nothing else.
    pub fn only(&self, name: &str) -> Result<Form<'_>, ConfigError> {
        let mut forms = self.forms()?;
        match forms.len() {
            1 if forms[0].name == name => Ok(forms.remove(0)),
            _ => Err(ConfigError {
                file: self.file.clone(),
                line: 1,
                column: 1,
                what: format!("the file must hold one form `({name} ...)` and nothing else"),
                rule: None,
            }),
        }
    }
}

/// The line in which lists are nested too deep, if any.
fn too_deep(text: &str) -> Option<usize> {
    let (mut depth, mut line, mut quoted, mut comment, mut escaped) = (0usize, 1, false, false, false);
    for c in text.chars() {
        if c == '\n' {
            line += 1;
            comment = false;
        }
        match c {
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '"' if !comment => quoted = !quoted,
            ';' if !quoted => comment = true,
            '(' | '[' | '\'' | '`' | ',' if !quoted && !comment => depth += 1,
            ')' | ']' if !quoted && !comment => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some(line);
        }
    }
    None
}

impl<'a> Form<'a> {
    fn read(file: &'a str, datum: Ref<'a>) -> Result<Form<'a>, ConfigError> {
        let place = (datum.span().start().line(), datum.span().start().column() + 1);
        let fail = |what: &str| {
            Err(ConfigError {
                file: file.into(),
                line: place.0,
                column: place.1,
                what: what.into(),
                rule: None,
            })
        };
        let Some(mut items) = datum.list_iter() else { return fail("expected a form `(name ...)`") };
        let Some(name) = items.next().and_then(|n| n.value().as_symbol()) else {
            return fail("a form must begin with a name");
        };
        let mut form = Form {
            file,
            name,
            place,
            values: Vec::new(),
            taken: Cell::new(0),
            inner: Vec::new(),
            used: RefCell::default(),
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
        form.used = RefCell::new(vec![false; form.inner.len()]);
        Ok(form)
    }

    /// The form's name.
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// An error at the place of this form.
    pub fn error(&self, what: impl Into<String>) -> ConfigError {
        let (line, column) = self.place;
        ConfigError { file: self.file.to_string(), line, column, what: what.into(), rule: None }
    }

    /// An error at the place of this form that names the rule it guards.
    pub fn breaks(&self, rule: &'static str, what: impl Into<String>) -> ConfigError {
        ConfigError { rule: Some(rule), ..self.error(what) }
    }

    /// Inner forms of these names as they stand, for a file of another kind that holds them too. They
    /// do not count as taken.
    pub fn texts(&self, names: &[&str]) -> Vec<String> {
        self.inner
            .iter()
            .filter(|(name, _)| names.contains(name))
            .map(|(_, form)| form.value().to_string())
            .collect()
    }

    /// The next plain value behind the name.
    fn next_value(&self) -> Option<&'a Value> {
        let value = self.values.get(self.taken.get())?;
        self.taken.set(self.taken.get() + 1);
        Some(value.value())
    }

    /// The next plain value as text: a string or a bare word.
    pub fn text(&self) -> Result<String, ConfigError> {
        match self.next_value() {
            Some(Value::String(s)) => Ok(s.to_string()),
            Some(Value::Symbol(s)) => Ok(s.to_string()),
            _ => Err(self.error(format!("`{}` needs a text", self.name))),
        }
    }

    /// The next plain value as text, if there is one.
    pub fn maybe_text(&self) -> Result<Option<String>, ConfigError> {
        if self.taken.get() >= self.values.len() {
            return Ok(None);
        }
        self.text().map(Some)
    }

    /// The next plain value as a number inside a range.
    pub fn number(&self, least: f64, most: f64) -> Result<f64, ConfigError> {
        let number = match self.next_value() {
            Some(Value::Number(n)) => n.as_f64(),
            _ => None,
        };
        let number = number.ok_or_else(|| self.error(format!("`{}` needs a number", self.name)))?;
        if !(least..=most).contains(&number) {
            return Err(self.error(format!("`{}` is {number}, outside {least} to {most}", self.name)));
        }
        Ok(number)
    }

    /// The next plain value as a whole number inside a range.
    pub fn count(&self, least: u64, most: u64) -> Result<u64, ConfigError> {
        let number = self.number(least as f64, most as f64)?;
        if number.fract() != 0.0 {
            return Err(self.error(format!("`{}` is {number}, not a whole number", self.name)));
        }
        Ok(number as u64)
    }

    /// The next plain value as yes or no.
    pub fn yes(&self) -> Result<bool, ConfigError> {
        match self.text()?.as_str() {
            "yes" => Ok(true),
            "no" => Ok(false),
            other => Err(self.error(format!("`{}` is `{other}`, not yes or no", self.name))),
        }
    }

    /// All inner forms of a name, in order.
    pub fn all(&self, key: &str) -> Result<Vec<Form<'a>>, ConfigError> {
        let mut found = Vec::new();
        for (index, (name, datum)) in self.inner.iter().enumerate() {
            if *name == key {
                self.used.borrow_mut()[index] = true;
                found.push(Form::read(self.file, *datum)?);
            }
        }
        Ok(found)
    }

    /// The inner form of a name, if it is there; twice is an error.
    pub fn maybe(&self, key: &str) -> Result<Option<Form<'a>>, ConfigError> {
        let mut found = self.all(key)?;
        match found.len() {
            0 => Ok(None),
            1 => Ok(found.pop()),
            _ => Err(found[1].error(format!("`{key}` is given twice"))),
        }
    }

    /// The inner form of a name, which must be there.
    pub fn need(&self, key: &str) -> Result<Form<'a>, ConfigError> {
        self.maybe(key)?.ok_or_else(|| self.error(format!("`{}` lacks `({key} ...)`", self.name)))
    }

    /// The inner key's text, or a default.
    pub fn text_or(&self, key: &str, default: &str) -> Result<String, ConfigError> {
        self.leaf(key, default.to_string(), Form::text)
    }

    /// The inner key's number, or a default.
    pub fn number_or(&self, key: &str, default: f64, least: f64, most: f64) -> Result<f64, ConfigError> {
        self.leaf(key, default, |f| f.number(least, most))
    }

    /// The inner key's whole number, or a default.
    pub fn count_or(&self, key: &str, default: u64, least: u64, most: u64) -> Result<u64, ConfigError> {
        self.leaf(key, default, |f| f.count(least, most))
    }

    /// The inner key's yes or no, or a default.
    pub fn yes_or(&self, key: &str, default: bool) -> Result<bool, ConfigError> {
        self.leaf(key, default, Form::yes)
    }

    /// The inner key's span in milliseconds as microseconds, or a default in milliseconds.
    pub fn millis_or(&self, key: &str, default: f64, least: f64, most: f64) -> Result<u64, ConfigError> {
        Ok((self.number_or(key, default, least, most)? * 1e3).round() as u64)
    }

    fn leaf<T>(
        &self,
        key: &str,
        default: T,
        take: impl Fn(&Form<'a>) -> Result<T, ConfigError>,
    ) -> Result<T, ConfigError> {
        let Some(form) = self.maybe(key)? else { return Ok(default) };
        let value = take(&form)?;
        form.finish()?;
        Ok(value)
    }

    /// Refuses whatever nobody has taken.
    pub fn finish(&self) -> Result<(), ConfigError> {
        if self.taken.get() < self.values.len() {
            let place = self.values[self.taken.get()].span().start();
            return Err(ConfigError {
                line: place.line(),
                column: place.column() + 1,
                ..self.error(format!("`{}` holds a value too many", self.name))
            });
        }
        let used = self.used.borrow();
        match self.inner.iter().zip(used.iter()).find(|(_, used)| !**used) {
            None => Ok(()),
            Some(((key, datum), _)) => {
                let place = datum.span().start();
                Err(ConfigError {
                    line: place.line(),
                    column: place.column() + 1,
                    ..self.error(format!("unknown key `{key}` in `{}`", self.name))
                })
            }
        }
    }
}
