//! Parsing and validation of a settings file, with the line of each error.

use std::fmt;
use std::path::{Path, PathBuf};

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::de::DeserializeOwned;

/// Settings that can validate their values.
pub trait Validate {
    /// Adds an error for each invalid value.
    fn validate(&self, errors: &mut ValidationErrors);
}

/// An invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Path of the field, as in `guards[2].hall`.
    pub field: String,
    /// What is wrong, and which values are valid.
    pub message: String,
}

/// The invalid values found in one settings file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValidationErrors(Vec<ValidationError>);

impl ValidationErrors {
    /// Adds an error if `is_invalid` is true.
    pub fn add_if(
        &mut self,
        is_invalid: bool,
        field: impl Into<String>,
        message: impl Into<String>,
    ) {
        if is_invalid {
            self.0.push(ValidationError {
                field: field.into(),
                message: message.into(),
            });
        }
    }

    /// Returns the errors in the order in which they were added.
    pub fn errors(&self) -> &[ValidationError] {
        &self.0
    }
}

/// Errors in a settings file; displays the file, line and field of each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    file: PathBuf,
    lines: Vec<ErrorLine>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct ErrorLine {
    line: Option<usize>,
    field: String,
    message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.lines.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}:", self.file.display())?;
            if let Some(line) = error.line {
                write!(f, "{line}:")?;
            }
            if !error.field.is_empty() {
                write!(f, " {}:", error.field)?;
            }
            write!(f, " {}", error.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// Reads, parses and validates a settings file.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or the errors of [`parse_settings`].
pub fn read_settings<T: DeserializeOwned + Validate>(file: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| single_error(file, None, "", format!("cannot be read: {e}")))?;
    parse_settings(file, &text)
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Returns the first syntax or type error, or else all invalid values.
pub fn parse_settings<T: DeserializeOwned + Validate>(
    file: &Path,
    text: &str,
) -> Result<T, SettingsError> {
    let options = ParseOptions::default();
    let syntax_error = |e: jsonc_parser::errors::ParseError| {
        single_error(file, Some(e.line_display()), "", e.kind().to_string())
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options).map_err(syntax_error)?;
    let Some(root) = parsed.value else {
        return Err(single_error(file, None, "", "the file is empty".into()));
    };
    let json: serde_json::Value = parse_to_serde_value(text, &options).map_err(syntax_error)?;
    let settings: T = serde_path_to_error::deserialize(json).map_err(|e| {
        let field = e.path().to_string();
        let field = if field == "." { String::new() } else { field };
        let line = find_line(text, &root, &field);
        single_error(file, line, &field, e.inner().to_string())
    })?;
    let mut errors = ValidationErrors::default();
    settings.validate(&mut errors);
    if errors.0.is_empty() {
        return Ok(settings);
    }
    let locate = |error: ValidationError| ErrorLine {
        line: find_line(text, &root, &error.field),
        field: error.field,
        message: error.message,
    };
    Err(SettingsError {
        file: file.into(),
        lines: errors.0.into_iter().map(locate).collect(),
    })
}

fn single_error(file: &Path, line: Option<usize>, field: &str, message: String) -> SettingsError {
    SettingsError {
        file: file.into(),
        lines: vec![ErrorLine {
            line,
            field: field.into(),
            message,
        }],
    }
}

/// Returns the line, from 1, of a field such as `guards[2].hall`, or of its innermost parent that the file contains.
fn find_line(text: &str, root: &ast::Value<'_>, field: &str) -> Option<usize> {
    let mut value = root;
    let mut position = root.range().start;
    let parts = field.split(['.', '[', ']']).filter(|part| !part.is_empty());
    for part in parts {
        match value {
            ast::Value::Object(object) => {
                let Some(property) = object.get(part) else {
                    break;
                };
                position = property.range.start;
                value = &property.value;
            }
            ast::Value::Array(array) => {
                let index: usize = part.parse().ok()?;
                let Some(element) = array.elements.get(index) else {
                    break;
                };
                position = element.range().start;
                value = element;
            }
            _ => break,
        }
    }
    let before = text.get(..position)?;
    Some(before.matches('\n').count() + 1)
}
