//! Parsing of the text of a file into S-expressions.

use lexpr::{Datum, Parser};

use super::Form;
use crate::ConfigError;

/// The maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: usize = 16 << 20;
/// The maximum nesting of lists. Deeper nesting could overflow the stack, because the parser is recursive.
const MAX_NESTING_DEPTH: usize = 64;

/// A parsed file.
pub struct Document {
    file: String,
    expressions: Vec<Datum>,
}

impl Document {
    /// Parses a text. `file` is the name of the file in errors.
    ///
    /// # Errors
    ///
    /// Fails if the text is too large, is nested too deeply, or is not a sequence of S-expressions.
    pub fn parse(file: &str, text: &str) -> Result<Document, ConfigError> {
        let error = |line, column, message: String| ConfigError {
            file: file.to_string(),
            line,
            column,
            message,
            rule: None,
        };
        if text.len() > MAX_FILE_BYTES {
            return Err(error(0, 0, format!("the file is larger than {MAX_FILE_BYTES} bytes")));
        }
        if let Some(line) = first_line_too_deep(text) {
            return Err(error(line, 1, format!("lists are nested more than {MAX_NESTING_DEPTH} deep")));
        }
        let mut parser = Parser::from_str(text);
        let mut expressions = Vec::new();
        loop {
            match parser.next_datum() {
                Ok(Some(datum)) => expressions.push(datum),
                Ok(None) => return Ok(Document { file: file.to_string(), expressions }),
                Err(parse_error) => {
                    let (line, column) =
                        parse_error.location().map_or((0, 0), |l| (l.line(), l.column() + 1));
                    // The position is cut off, because it is stored in fields of the error.
                    let message = parse_error.to_string();
                    let message = message.split(" at line ").next().unwrap_or(&message);
                    return Err(error(line, column, format!("not an S-expression: {message}")));
                }
            }
        }
    }

    /// All top-level forms of the file.
    ///
    /// # Errors
    ///
    /// Fails if a top-level expression is not a form.
    pub fn forms(&self) -> Result<Vec<Form<'_>>, ConfigError> {
        self.expressions.iter().map(|datum| Form::read(&self.file, datum.as_ref())).collect()
    }

    /// The only top-level form of the file, which must have this name.
    ///
    /// # Errors
    ///
    /// Fails if the file holds no form, more than one form, or a form with another name.
    pub fn only_form(&self, name: &str) -> Result<Form<'_>, ConfigError> {
        let mut forms = self.forms()?;
        if forms.len() == 1 && forms[0].name() == name {
            return Ok(forms.remove(0));
        }
        Err(ConfigError {
            file: self.file.clone(),
            line: 1,
            column: 1,
            message: format!("the file must hold one form `({name} ...)` and nothing else"),
            rule: None,
        })
    }
}

/// The lexical state of the scan that measures the nesting.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Lexeme {
    /// Outside strings and comments.
    Plain,
    /// Inside a string.
    Quoted,
    /// Inside a string, after a backslash.
    Escaped,
    /// Inside a comment.
    Comment,
}

/// The first line in which lists are nested too deeply, if any.
fn first_line_too_deep(text: &str) -> Option<usize> {
    let (mut depth, mut line, mut lexeme) = (0usize, 1, Lexeme::Plain);
    for c in text.chars() {
        if c == '\n' {
            line += 1;
        }
        lexeme = match (lexeme, c) {
            (Lexeme::Comment, '\n') => Lexeme::Plain,
            (Lexeme::Escaped, _) => Lexeme::Quoted,
            (Lexeme::Quoted, '\\') => Lexeme::Escaped,
            (Lexeme::Quoted, '"') => Lexeme::Plain,
            (Lexeme::Plain, '"') => Lexeme::Quoted,
            (Lexeme::Plain, ';') => Lexeme::Comment,
            (Lexeme::Plain, '(' | '[' | '\'' | '`' | ',') => {
                depth += 1;
                Lexeme::Plain
            }
            (Lexeme::Plain, ')' | ']') => {
                depth = depth.saturating_sub(1);
                Lexeme::Plain
            }
            (lexeme, _) => lexeme,
        };
        if depth > MAX_NESTING_DEPTH {
            return Some(line);
        }
    }
    None
}
