//! Reads a file according to the table of settings. The result holds the values with their positions, and a finding for
//! each value that is invalid by itself.

use crate::codes::Code;
use crate::fields::{Field, Kind, SettingsTable};
use crate::finding::{Finding, Location};
use crate::units::{UnitError, format_size, format_time, parse_size, parse_time};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Read;
use std::ops::Range;
use std::path::{Path, PathBuf};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Largest file that is read: 100,000 endpoints take about 3 MB, and a parsed file takes several times its size in
/// memory.
const MAX_FILE_BYTES: u64 = 16 << 20;
/// [`Document::add`] adds no further findings to a file that has this many; a longer list would not help its reader.
const MAX_FINDINGS: usize = 200;
/// Separates the parts of a setting's path. A dot would be ambiguous, since quoted TOML names may contain dots.
const PATH_SEPARATOR: char = '\u{1f}';

/// The value of a setting, parsed.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// A text, name, path, address or choice.
    Text(String),
    /// A list of addresses, each with its position in the file in bytes.
    List(Vec<(String, Range<usize>)>),
    /// A time in microseconds.
    Time(i64),
    /// A size in bytes.
    Size(u64),
    /// A whole number.
    Count(u64),
    /// A floating-point number.
    Number(f64),
    /// A boolean.
    Flag(bool),
}

/// A value with its position in the file.
#[derive(Debug, Clone, PartialEq)]
pub struct SpannedValue {
    /// The parsed value.
    pub value: Value,
    /// Position of the value in the file, in bytes.
    pub span: Range<usize>,
}

/// A configuration file that has been read, with the findings so far.
#[derive(Debug, Clone, Default)]
pub struct Document {
    /// Path of the file. Relative paths in the file are relative to its folder.
    pub path: PathBuf,
    /// Text of the file; empty if the file can't be read.
    pub text: String,
    settings: SettingsTable,
    /// Values that the file sets, by path.
    values: BTreeMap<String, SpannedValue>,
    /// Positions of the names of the file's tables, by path.
    tables: BTreeMap<String, Range<usize>>,
    /// The findings so far. [`Document::add`] adds no more than 200.
    pub findings: Vec<Finding>,
}

fn join_path(path: &[&str]) -> String {
    path.join(&PATH_SEPARATOR.to_string())
}

/// A setting's path in the notation for users, with dots between its parts.
#[must_use]
pub fn display_path(path: &str) -> String {
    path.replace(PATH_SEPARATOR, ".")
}

impl Document {
    /// Reads a sidecar's configuration file. Errors are reported as findings.
    #[must_use]
    pub fn read(path: &Path) -> Self {
        Document::read_with(path, SettingsTable::default())
    }

    /// Reads a file that may contain the given settings.
    #[must_use]
    pub fn read_with(path: &Path, settings: SettingsTable) -> Self {
        let mut document = Document {
            path: path.to_path_buf(),
            settings,
            ..Document::default()
        };
        let mut bytes = Vec::new();
        let read = std::fs::File::open(path)
            .and_then(|file| file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes));
        if let Err(error) = read {
            let folder = path
                .parent()
                .filter(|folder| !folder.as_os_str().is_empty());
            let folder = std::path::absolute(folder.unwrap_or(Path::new("."))).unwrap_or_default();
            let label = format!("{error}; looked for in {}", folder.display());
            document.add(Code::Unreadable, None, label, None);
            return document;
        }
        if bytes.len() as u64 > MAX_FILE_BYTES {
            document.add(
                Code::Unreadable,
                None,
                "it is larger than 16 MiB".to_string(),
                None,
            );
            return document;
        }
        match String::from_utf8(bytes) {
            Ok(text) => Document::parse_with(path, text, settings),
            Err(error) => {
                let at = error.utf8_error().valid_up_to();
                document.add(Code::NotUtf8, None, format!("byte {at} is not UTF-8"), None);
                document
            }
        }
    }

    /// Parses the text of a sidecar's configuration file. A byte order mark and CRLF line ends are accepted.
    #[must_use]
    pub fn parse(path: &Path, text: String) -> Self {
        Document::parse_with(path, text, SettingsTable::default())
    }

    /// Parses the text of a file that may contain the given settings.
    #[must_use]
    pub fn parse_with(path: &Path, text: String, settings: SettingsTable) -> Self {
        let mut document = Document {
            path: path.to_path_buf(),
            text,
            settings,
            ..Document::default()
        };
        let text = document.text.clone();
        let (table, errors) = DeTable::parse_recoverable(&text);
        for error in errors.iter().take(MAX_FINDINGS) {
            let code = if error.message().contains("duplicate") {
                Code::Duplicate
            } else {
                Code::Syntax
            };
            document.add(code, error.span(), error.message().to_string(), None);
        }
        document.read_table(table.get_ref(), &[]);
        if errors.is_empty() {
            document.check_required_settings();
        }
        document
    }

    /// Adds a finding with one location in the file, or about the file as a whole if there is no `span`. Has no effect
    /// once the document has 200 findings.
    pub fn add(
        &mut self,
        code: Code,
        span: Option<Range<usize>>,
        label: String,
        help: Option<String>,
    ) {
        if self.findings.len() < MAX_FINDINGS {
            let location = self.location(span, label);
            self.findings.push(Finding {
                code,
                locations: vec![location],
                help,
            });
        }
    }

    /// A location in the file with a label for it.
    pub fn location(&self, span: Option<Range<usize>>, label: impl Into<String>) -> Location {
        Location {
            path: self.path.clone(),
            span,
            label: label.into(),
        }
    }

    /// Reads the values of a table and of the tables inside it.
    fn read_table(&mut self, table: &DeTable<'_>, path: &[&str]) {
        for (name, value) in table {
            let mut inner_path = path.to_vec();
            inner_path.push(name.get_ref());
            let full_path = join_path(&inner_path);
            if let DeValue::Table(inner_table) = value.get_ref() {
                if self.is_table(&inner_path) {
                    if inner_path.len() == 2 && !is_valid_name(name.get_ref()) {
                        let label = "letters, digits, '-', '_' and '.' only".to_string();
                        self.add(Code::InvalidName, Some(name.span()), label, None);
                    }
                    self.tables.insert(full_path, name.span());
                    self.read_table(inner_table, &inner_path);
                } else if let Some(field) = self.settings.find(&full_path) {
                    self.add_wrong_type(field, value, "a table");
                } else {
                    self.add_unknown_setting(&inner_path, name);
                }
                continue;
            }
            match self.settings.find(&full_path) {
                Some(field) => self.read_value(field, full_path, value),
                None if self.is_table(&inner_path) => {
                    let label = format!(
                        "this is {}, and a table is wanted",
                        value.get_ref().type_str()
                    );
                    self.add(
                        Code::WrongType,
                        Some(value.span()),
                        label,
                        Some(format!("[{}]", display_path(&full_path))),
                    );
                }
                None => self.add_unknown_setting(&inner_path, name),
            }
        }
    }

    /// True if the path names a table, that is, if some setting's path begins with it and has further parts.
    fn is_table(&self, path: &[&str]) -> bool {
        self.settings.0.iter().any(|field| {
            let mut pattern = field.path.split('.');
            let matches = path.iter().all(|given| {
                pattern
                    .next()
                    .is_some_and(|part| part == "*" || part == *given)
            });
            matches && pattern.next().is_some()
        })
    }

    /// Adds a finding for a name that is not a setting. The finding suggests the most similar known name, or lists the
    /// known names if none is similar.
    fn add_unknown_setting(&mut self, path: &[&str], name: &Spanned<std::borrow::Cow<'_, str>>) {
        let depth = path.len() - 1;
        let known: BTreeSet<&str> = (self.settings.0.iter())
            .filter_map(|field| {
                let parts: Vec<&str> = field.path.split('.').collect();
                let matches = parts
                    .iter()
                    .zip(&path[..depth])
                    .all(|(part, given)| *part == "*" || part == given);
                parts
                    .get(depth)
                    .copied()
                    .filter(|part| matches && *part != "*")
            })
            .collect();
        let found = path[depth];
        let closest = known
            .iter()
            .map(|known| (strsim::damerau_levenshtein(known, found), *known))
            .min()
            .filter(|(distance, known)| *distance <= 1 + known.len() / 3);
        let help = match closest {
            Some((_, known)) => Some(format!("did you mean `{known}`?")),
            None if known.is_empty() => None,
            None => Some(format!(
                "known here: {}",
                known.into_iter().collect::<Vec<_>>().join(", ")
            )),
        };
        self.add(
            Code::UnknownName,
            Some(name.span()),
            "unknown".to_string(),
            help,
        );
    }

    fn add_wrong_type(&mut self, field: &Field, value: &Spanned<DeValue<'_>>, found: &str) {
        let label = format!(
            "this is {found}, and {} is wanted",
            field.kind.description()
        );
        self.add(Code::WrongType, Some(value.span()), label, None);
    }

    /// Parses the value of a setting and stores it, or adds a finding if it is invalid.
    fn read_value(&mut self, field: &'static Field, path: String, value: &Spanned<DeValue<'_>>) {
        let span = value.span();
        let type_name = value.get_ref().type_str();
        let parsed = match (field.kind, value.get_ref()) {
            (Kind::Flag, DeValue::Boolean(flag)) => Some(Value::Flag(*flag)),
            (Kind::Count(min, max), DeValue::Integer(number)) => {
                let digits = number.as_str().replace('_', "");
                match i128::from_str_radix(&digits, number.radix()) {
                    Ok(number) => self.check_bounds(
                        &span,
                        number,
                        (i128::from(min), i128::from(max)),
                        |number| number.to_string(),
                        |number| Value::Count(number as u64),
                    ),
                    Err(_) => {
                        self.add(
                            Code::TooLarge,
                            Some(span.clone()),
                            "larger than any number here".into(),
                            None,
                        );
                        None
                    }
                }
            }
            (Kind::Number(min, max), DeValue::Integer(_) | DeValue::Float(_)) => {
                let text = &self.text[span.clone()];
                let number = text.replace('_', "").parse::<f64>().unwrap_or(f64::NAN);
                self.check_number(&span, number, min, max)
            }
            (Kind::Time(min, max), DeValue::String(text)) => match parse_time(text) {
                Ok(micros) => self.check_bounds(
                    &span,
                    micros,
                    (min, max),
                    |micros| format!("\"{}\"", format_time(micros)),
                    Value::Time,
                ),
                Err(error) => self.add_unit_error(&span, error, text, "ms, s, m or h", "\"5s\""),
            },
            (Kind::Size(min, max), DeValue::String(text)) => match parse_size(text) {
                Ok(bytes) => self.check_bounds(
                    &span,
                    bytes,
                    (min, max),
                    |bytes| format!("\"{}\"", format_size(bytes)),
                    Value::Size,
                ),
                Err(error) => {
                    self.add_unit_error(&span, error, text, "KB, MB, KiB or MiB", "\"64KiB\"")
                }
            },
            (Kind::Time(..), DeValue::Integer(_) | DeValue::Float(_)) => {
                let text = self.text[span.clone()].to_string();
                self.add_unit_error(
                    &span,
                    UnitError::NoUnit,
                    &text,
                    "ms, s, m or h",
                    &format!("\"{text}s\""),
                )
            }
            (Kind::Size(..), DeValue::Integer(_) | DeValue::Float(_)) => {
                let text = self.text[span.clone()].to_string();
                self.add_unit_error(
                    &span,
                    UnitError::NoUnit,
                    &text,
                    "KB, MB, KiB or MiB",
                    &format!("\"{text}KB\""),
                )
            }
            (Kind::Addresses, DeValue::Array(items)) => {
                let mut list = Vec::with_capacity(items.len());
                for item in items {
                    match item.get_ref() {
                        DeValue::String(text) if is_valid_address(text) => {
                            list.push((text.to_string(), item.span()));
                        }
                        DeValue::String(_) => self.add_address_error(item.span()),
                        other => self.add_wrong_type(field, item, other.type_str()),
                    }
                }
                if items.is_empty() {
                    self.add(
                        Code::EmptyValue,
                        Some(span.clone()),
                        "an empty list".into(),
                        None,
                    );
                }
                Some(Value::List(list))
            }
            (kind, DeValue::String(text)) => {
                let text = text.to_string();
                match kind {
                    Kind::Text | Kind::Path | Kind::Name | Kind::Address
                        if text.trim().is_empty() =>
                    {
                        self.add(
                            Code::EmptyValue,
                            Some(span.clone()),
                            "an empty text".into(),
                            None,
                        );
                        None
                    }
                    Kind::Text | Kind::Path => Some(Value::Text(text)),
                    Kind::Name if is_valid_name(&text) => Some(Value::Text(text)),
                    Kind::Name => {
                        let label = "letters, digits, '-', '_' and '.' only".to_string();
                        self.add(Code::InvalidName, Some(span.clone()), label, None);
                        None
                    }
                    Kind::Address if is_valid_address(&text) => Some(Value::Text(text)),
                    Kind::Address => {
                        self.add_address_error(span.clone());
                        None
                    }
                    Kind::Choice(words) if words.contains(&text.as_str()) => {
                        Some(Value::Text(text))
                    }
                    Kind::Choice(words) => {
                        let closest = words
                            .iter()
                            .min_by_key(|word| strsim::damerau_levenshtein(word, &text));
                        let help = closest.map(|word| {
                            format!("did you mean \"{word}\"? Allowed: {}", words.join(", "))
                        });
                        self.add(
                            Code::InvalidChoice,
                            Some(span.clone()),
                            "not one of the words".into(),
                            help,
                        );
                        None
                    }
                    _ => {
                        self.add_wrong_type(field, value, "a text");
                        None
                    }
                }
            }
            _ => {
                self.add_wrong_type(
                    field,
                    value,
                    &format!("{} {type_name}", indefinite_article(type_name)),
                );
                None
            }
        };
        if let Some(value) = parsed {
            self.values.insert(path, SpannedValue { value, span });
        }
    }

    fn check_bounds<T: PartialOrd + Copy>(
        &mut self,
        span: &Range<usize>,
        value: T,
        (min, max): (T, T),
        text: impl Fn(T) -> String,
        wrap: impl Fn(T) -> Value,
    ) -> Option<Value> {
        if value < min {
            self.add(
                Code::TooSmall,
                Some(span.clone()),
                format!("the least is {}", text(min)),
                None,
            );
        } else if value > max {
            self.add(
                Code::TooLarge,
                Some(span.clone()),
                format!("the most is {}", text(max)),
                None,
            );
        } else {
            return Some(wrap(value));
        }
        None
    }

    fn check_number(
        &mut self,
        span: &Range<usize>,
        value: f64,
        min: f64,
        max: f64,
    ) -> Option<Value> {
        if value.is_finite() {
            return self.check_bounds(
                span,
                value,
                (min, max),
                |number| number.to_string(),
                Value::Number,
            );
        }
        self.add(
            Code::NotANumber,
            Some(span.clone()),
            "a finite number is wanted".into(),
            None,
        );
        None
    }

    fn add_unit_error(
        &mut self,
        span: &Range<usize>,
        error: UnitError,
        text: &str,
        units: &str,
        example: &str,
    ) -> Option<Value> {
        let (code, label) = match error {
            UnitError::NoUnit => (
                Code::MissingUnit,
                format!("{text} of what? Units are {units}"),
            ),
            UnitError::UnknownUnit => (Code::UnknownUnit, format!("units are {units}")),
            UnitError::NoNumber => (
                Code::NotANumber,
                "a number and a unit are wanted".to_string(),
            ),
            UnitError::Overflow => (Code::TooLarge, "more than any setting may be".to_string()),
        };
        self.add(
            code,
            Some(span.clone()),
            label,
            Some(format!("such as {example}")),
        );
        None
    }

    fn add_address_error(&mut self, span: Range<usize>) {
        let label = "a host or IP address, a colon and a port from 1 to 65535".to_string();
        self.add(
            Code::InvalidAddress,
            Some(span),
            label,
            Some("such as \"127.0.0.1:7001\"".into()),
        );
    }

    /// Adds a finding for each required setting that is missing at the top level or in a table that the file has.
    fn check_required_settings(&mut self) {
        let tables: Vec<(String, Range<usize>)> = self
            .tables
            .iter()
            .map(|(path, span)| (path.clone(), span.clone()))
            .collect();
        for field in self.settings.0.iter().filter(|field| field.required) {
            let parts: Vec<&str> = field.path.split('.').collect();
            match parts[..] {
                [group, "*", name] => {
                    for (path, span) in &tables {
                        let mut table_parts = path.split(PATH_SEPARATOR);
                        let table = (table_parts.next(), table_parts.next(), table_parts.next());
                        if matches!(table, (Some(first), Some(_), None) if first == group) {
                            let full_path = format!("{path}{PATH_SEPARATOR}{name}");
                            if !self.values.contains_key(&full_path)
                                && !self.is_already_reported(&full_path)
                            {
                                let label = format!("`{name}` is missing here");
                                let help = format!("{name} = ...  # {}", field.doc);
                                self.add(
                                    Code::MissingSetting,
                                    Some(span.clone()),
                                    label,
                                    Some(help),
                                );
                            }
                        }
                    }
                }
                _ => {
                    let full_path = join_path(&parts);
                    if !self.values.contains_key(&full_path)
                        && !self.is_already_reported(&full_path)
                    {
                        let span = parts
                            .first()
                            .and_then(|table| self.tables.get(*table))
                            .cloned();
                        let label = format!("`{}` is missing", field.path);
                        let help = format!("{}: {}", field.path, field.doc);
                        self.add(Code::MissingSetting, span, label, Some(help));
                    }
                }
            }
        }
    }

    /// True if a finding is located on a line of the file that begins with the setting's name, after that name. Such a
    /// setting is present but invalid, and must not be reported as missing too. Lines are compared by the last part of
    /// the path only, so a line of another table counts as well.
    fn is_already_reported(&self, path: &str) -> bool {
        let name = path.rsplit(PATH_SEPARATOR).next().unwrap_or(path);
        self.findings
            .iter()
            .flat_map(|finding| &finding.locations)
            .any(|location| {
                let line = location.span.as_ref().map(|span| {
                    let start = self.text[..span.start.min(self.text.len())]
                        .rfind('\n')
                        .map_or(0, |at| at + 1);
                    self.text[start..span.start.min(self.text.len())].trim_start()
                });
                line.is_some_and(|line| line.starts_with(name))
            })
    }

    /// The value that the file itself sets; `None` if it sets none, so that the default applies.
    #[must_use]
    pub fn explicit_value(&self, path: &[&str]) -> Option<&SpannedValue> {
        self.values.get(&join_path(path))
    }

    /// Position of a value or, if the file does not set it, of the name of the innermost table around it; `None` if
    /// the file has neither.
    #[must_use]
    pub fn span(&self, path: &[&str]) -> Option<Range<usize>> {
        let given = self.explicit_value(path).map(|found| found.span.clone());
        given.or_else(|| {
            (1..path.len())
                .rev()
                .find_map(|length| self.tables.get(&join_path(&path[..length])).cloned())
        })
    }

    /// Names of the tables in a group, such as all classes for `class`, in alphabetical order.
    #[must_use]
    pub fn table_names(&self, group: &str) -> Vec<String> {
        let below = |path: &String| {
            let mut parts = path.split(PATH_SEPARATOR);
            match (parts.next(), parts.next(), parts.next()) {
                (Some(first), Some(name), None) if first == group => Some(name.to_string()),
                _ => None,
            }
        };
        self.tables.keys().filter_map(below).collect()
    }

    /// The effective value: the one that the file sets, or else the default; `None` if there is neither.
    #[must_use]
    pub fn value(&self, path: &[&str]) -> Option<Value> {
        if let Some(found) = self.explicit_value(path) {
            return Some(found.value.clone());
        }
        let field = self
            .settings
            .find(&join_path(path))
            .filter(|field| !field.default.is_empty())?;
        let text = field.default.trim_matches('"');
        Some(match field.kind {
            Kind::Time(..) => Value::Time(parse_time(text).ok()?),
            Kind::Size(..) => Value::Size(parse_size(text).ok()?),
            Kind::Count(..) => Value::Count(text.parse().ok()?),
            Kind::Number(..) => Value::Number(text.parse().ok()?),
            Kind::Flag => Value::Flag(text == "true"),
            _ => Value::Text(text.to_string()),
        })
    }

    /// The effective time, in microseconds; 0 if there is none.
    #[must_use]
    pub fn time(&self, path: &[&str]) -> i64 {
        if let Some(Value::Time(micros)) = self.value(path) {
            micros
        } else {
            0
        }
    }

    /// The effective size, in bytes; 0 if there is none.
    #[must_use]
    pub fn size(&self, path: &[&str]) -> u64 {
        if let Some(Value::Size(bytes)) = self.value(path) {
            bytes
        } else {
            0
        }
    }

    /// The effective whole number; 0 if there is none.
    #[must_use]
    pub fn count(&self, path: &[&str]) -> u64 {
        if let Some(Value::Count(count)) = self.value(path) {
            count
        } else {
            0
        }
    }

    /// The effective number; 0 if there is none.
    #[must_use]
    pub fn number_of(&self, path: &[&str]) -> f64 {
        if let Some(Value::Number(number)) = self.value(path) {
            number
        } else {
            0.0
        }
    }

    /// The effective boolean; false if there is none.
    #[must_use]
    pub fn flag(&self, path: &[&str]) -> bool {
        matches!(self.value(path), Some(Value::Flag(true)))
    }

    /// The effective text, if there is one.
    #[must_use]
    pub fn text_of(&self, path: &[&str]) -> Option<String> {
        if let Some(Value::Text(text)) = self.value(path) {
            Some(text)
        } else {
            None
        }
    }

    /// The effective path, if there is one. A relative path is resolved against the folder of the configuration file.
    #[must_use]
    pub fn path_of(&self, path: &[&str]) -> Option<PathBuf> {
        let folder = self.path.parent().unwrap_or(Path::new(""));
        self.text_of(path).map(|text| folder.join(text))
    }

    /// The list that the file sets; empty if it sets none. Lists have no defaults.
    #[must_use]
    pub fn list(&self, path: &[&str]) -> &[(String, Range<usize>)] {
        match self.explicit_value(path) {
            Some(SpannedValue {
                value: Value::List(list),
                ..
            }) => list,
            _ => &[],
        }
    }
}

fn indefinite_article(word: &str) -> &'static str {
    if word.starts_with(['a', 'e', 'i', 'o', 'u']) {
        "an"
    } else {
        "a"
    }
}

/// True for a name of 1 to 64 letters, digits, `-`, `_` and `.` that does not start with a dot. Such names are safe in
/// paths and headers.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=64).contains(&text.len()) && text.chars().all(allowed) && !text.starts_with('.')
}

/// Splits an address into its host and port; `None` if the host is invalid or the port isn't from 1 to 65535. Brackets
/// around an IPv6 address are removed.
#[must_use]
pub fn host_and_port(text: &str) -> Option<(&str, u16)> {
    let (host, port) = text.rsplit_once(':')?;
    let port = port.parse().ok().filter(|&port| port > 0)?;
    let ipv6 = host
        .strip_prefix('[')
        .and_then(|host| host.strip_suffix(']'));
    let is_valid_host = match ipv6 {
        Some(address) => address.parse::<std::net::Ipv6Addr>().is_ok(),
        None if host
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.') =>
        {
            host.parse::<std::net::Ipv4Addr>().is_ok()
        }
        None => {
            let is_valid_label = |label: &str| {
                (1..=63).contains(&label.len())
                    && label
                        .bytes()
                        .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
                    && !label.starts_with('-')
                    && !label.ends_with('-')
            };
            host.len() <= 253 && host.trim_end_matches('.').split('.').all(is_valid_label)
        }
    };
    is_valid_host.then_some((ipv6.unwrap_or(host), port))
}

fn is_valid_address(text: &str) -> bool {
    host_and_port(text).is_some()
}
