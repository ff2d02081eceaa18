//! A file read against the table of settings: values with their locations, and all that is wrong with each by itself.

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

/// Larger files are not read: 100,000 endpoints take some 3 MB, and a parsed file several times its size.
const FILE_MOST: u64 = 16 << 20;
/// More findings in one file tell nobody anything.
const FINDINGS_MOST: usize = 200;
/// Between the parts of a path, since names in quotes may hold dots.
const SEPARATOR: char = '\u{1f}';

/// A value as the file gives it.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// Texts, names, paths, addresses and words.
    Text(String),
    /// Lists of addresses, each with its place.
    List(Vec<(String, Range<usize>)>),
    /// Microseconds.
    Time(i64),
    /// Bytes.
    Size(u64),
    /// Whole numbers.
    Count(u64),
    /// Numbers.
    Number(f64),
    /// Flags.
    Flag(bool),
}

/// A value and where it stands.
#[derive(Debug, Clone, PartialEq)]
pub struct SpannedValue {
    /// The value.
    pub value: Value,
    /// Its place in bytes.
    pub span: Range<usize>,
}

/// A file that has been read.
#[derive(Debug, Clone, Default)]
pub struct Document {
    /// Its path.
    pub path: PathBuf,
    /// Its text.
    pub text: String,
    settings: SettingsTable,
    values: BTreeMap<String, SpannedValue>,
    /// Tables by their path, with the places of their names.
    tables: BTreeMap<String, Range<usize>>,
    /// What is wrong so far.
    pub findings: Vec<Finding>,
}

fn joined(path: &[&str]) -> String {
    path.join(&SEPARATOR.to_string())
}

/// A path as people write it.
#[must_use]
pub fn display_path(path: &str) -> String {
    path.replace(SEPARATOR, ".")
}

impl Document {
    /// Reads a sidecar's file.
    #[must_use]
    pub fn read(path: &Path) -> Self {
        Document::read_with(path, SettingsTable::default())
    }

    /// Reads a file with these settings.
    #[must_use]
    pub fn read_with(path: &Path, settings: SettingsTable) -> Self {
        let mut document = Document {
            path: path.to_path_buf(),
            settings,
            ..Document::default()
        };
        let mut bytes = Vec::new();
        let read = std::fs::File::open(path)
            .and_then(|file| file.take(FILE_MOST + 1).read_to_end(&mut bytes));
        if let Err(error) = read {
            let folder = path
                .parent()
                .filter(|folder| !folder.as_os_str().is_empty());
            let folder = std::path::absolute(folder.unwrap_or(Path::new("."))).unwrap_or_default();
            let label = format!("{error}; looked for in {}", folder.display());
            document.add(Code::Unreadable, None, label, None);
            return document;
        }
        if bytes.len() as u64 > FILE_MOST {
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

    /// Reads the text of a sidecar's file. A byte order mark and lines that end in CRLF are as good as others.
    #[must_use]
    pub fn parse(path: &Path, text: String) -> Self {
        Document::parse_with(path, text, SettingsTable::default())
    }

    /// Reads the text of a file with these settings.
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
        for error in errors.iter().take(FINDINGS_MOST) {
            let code = if error.message().contains("duplicate") {
                Code::Duplicate
            } else {
                Code::Syntax
            };
            document.add(code, error.span(), error.message().to_string(), None);
        }
        document.walk(table.get_ref(), &[]);
        if errors.is_empty() {
            document.require();
        }
        document
    }

    /// Adds a finding with one place.
    pub fn add(
        &mut self,
        code: Code,
        span: Option<Range<usize>>,
        label: String,
        help: Option<String>,
    ) {
        if self.findings.len() < FINDINGS_MOST {
            let place = self.location(span, label);
            self.findings.push(Finding {
                code,
                locations: vec![place],
                help,
            });
        }
    }

    /// A place in this file.
    pub fn location(&self, span: Option<Range<usize>>, label: impl Into<String>) -> Location {
        Location {
            path: self.path.clone(),
            span,
            label: label.into(),
        }
    }

    fn walk(&mut self, table: &DeTable<'_>, path: &[&str]) {
        for (name, value) in table {
            let mut here = path.to_vec();
            here.push(name.get_ref());
            let full = joined(&here);
            if let DeValue::Table(inner) = value.get_ref() {
                if self.is_table(&here) {
                    if here.len() == 2 && !is_valid_name(name.get_ref()) {
                        let label = "letters, digits, '-', '_' and '.' only".to_string();
                        self.add(Code::InvalidName, Some(name.span()), label, None);
                    }
                    self.tables.insert(full, name.span());
                    self.walk(inner, &here);
                } else if let Some(field) = self.settings.find(&full) {
                    self.wrong(field, value, "a table");
                } else {
                    self.unknown(&here, name);
                }
                continue;
            }
            match self.settings.find(&full) {
                Some(field) => self.take(field, full, value),
                None if self.is_table(&here) => {
                    let label = format!(
                        "this is {}, and a table is wanted",
                        value.get_ref().type_str()
                    );
                    self.add(
                        Code::WrongType,
                        Some(value.span()),
                        label,
                        Some(format!("[{}]", display_path(&full))),
                    );
                }
                None => self.unknown(&here, name),
            }
        }
    }

    /// True if settings stand below this path.
    fn is_table(&self, path: &[&str]) -> bool {
        self.settings.0.iter().any(|field| {
            let mut parts = field.path.split('.');
            let fits = path.iter().all(|here| {
                parts
                    .next()
                    .is_some_and(|part| part == "*" || part == *here)
            });
            fits && parts.next().is_some()
        })
    }

    fn unknown(&mut self, path: &[&str], name: &Spanned<std::borrow::Cow<'_, str>>) {
        let depth = path.len() - 1;
        let known: BTreeSet<&str> = (self.settings.0.iter())
            .filter_map(|field| {
                let parts: Vec<&str> = field.path.split('.').collect();
                let fits = parts
                    .iter()
                    .zip(&path[..depth])
                    .all(|(part, here)| *part == "*" || part == here);
                parts
                    .get(depth)
                    .copied()
                    .filter(|part| fits && *part != "*")
            })
            .collect();
        let found = path[depth];
        let best = known
            .iter()
            .map(|known| (strsim::damerau_levenshtein(known, found), *known))
            .min()
            .filter(|(distance, known)| *distance <= 1 + known.len() / 3);
        let help = match best {
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

    fn wrong(&mut self, field: &Field, value: &Spanned<DeValue<'_>>, found: &str) {
        let label = format!(
            "this is {found}, and {} is wanted",
            field.kind.description()
        );
        self.add(Code::WrongType, Some(value.span()), label, None);
    }

    fn take(&mut self, field: &'static Field, path: String, value: &Spanned<DeValue<'_>>) {
        let span = value.span();
        let of_type = value.get_ref().type_str();
        let read = match (field.kind, value.get_ref()) {
            (Kind::Flag, DeValue::Boolean(flag)) => Some(Value::Flag(*flag)),
            (Kind::Count(least, most), DeValue::Integer(number)) => {
                let digits = number.as_str().replace('_', "");
                match i128::from_str_radix(&digits, number.radix()) {
                    Ok(number) => self.bounded(
                        &span,
                        number,
                        (i128::from(least), i128::from(most)),
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
            (Kind::Number(least, most), DeValue::Integer(_) | DeValue::Float(_)) => {
                let text = &self.text[span.clone()];
                let number = text.replace('_', "").parse::<f64>().unwrap_or(f64::NAN);
                self.number(&span, number, least, most)
            }
            (Kind::Time(least, most), DeValue::String(text)) => match parse_time(text) {
                Ok(micros) => self.bounded(
                    &span,
                    micros,
                    (least, most),
                    |micros| format!("\"{}\"", format_time(micros)),
                    Value::Time,
                ),
                Err(error) => self.unit(&span, error, text, "ms, s, m or h", "\"5s\""),
            },
            (Kind::Size(least, most), DeValue::String(text)) => match parse_size(text) {
                Ok(bytes) => self.bounded(
                    &span,
                    bytes,
                    (least, most),
                    |bytes| format!("\"{}\"", format_size(bytes)),
                    Value::Size,
                ),
                Err(error) => self.unit(&span, error, text, "KB, MB, KiB or MiB", "\"64KiB\""),
            },
            (Kind::Time(..), DeValue::Integer(_) | DeValue::Float(_)) => {
                let text = self.text[span.clone()].to_string();
                self.unit(
                    &span,
                    UnitError::NoUnit,
                    &text,
                    "ms, s, m or h",
                    &format!("\"{text}s\""),
                )
            }
            (Kind::Size(..), DeValue::Integer(_) | DeValue::Float(_)) => {
                let text = self.text[span.clone()].to_string();
                self.unit(
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
                        DeValue::String(text) if is_address(text) => {
                            list.push((text.to_string(), item.span()));
                        }
                        DeValue::String(_) => self.address(item.span()),
                        other => self.wrong(field, item, other.type_str()),
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
                    Kind::Address if is_address(&text) => Some(Value::Text(text)),
                    Kind::Address => {
                        self.address(span.clone());
                        None
                    }
                    Kind::Choice(words) if words.contains(&text.as_str()) => {
                        Some(Value::Text(text))
                    }
                    Kind::Choice(words) => {
                        let near = words
                            .iter()
                            .min_by_key(|word| strsim::damerau_levenshtein(word, &text));
                        let help = near.map(|word| {
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
                        self.wrong(field, value, "a text");
                        None
                    }
                }
            }
            _ => {
                self.wrong(field, value, &format!("{} {of_type}", article(of_type)));
                None
            }
        };
        if let Some(value) = read {
            self.values.insert(path, SpannedValue { value, span });
        }
    }

    fn bounded<T: PartialOrd + Copy>(
        &mut self,
        span: &Range<usize>,
        value: T,
        (least, most): (T, T),
        text: impl Fn(T) -> String,
        wrap: impl Fn(T) -> Value,
    ) -> Option<Value> {
        if value < least {
            self.add(
                Code::TooSmall,
                Some(span.clone()),
                format!("the least is {}", text(least)),
                None,
            );
        } else if value > most {
            self.add(
                Code::TooLarge,
                Some(span.clone()),
                format!("the most is {}", text(most)),
                None,
            );
        } else {
            return Some(wrap(value));
        }
        None
    }

    fn number(&mut self, span: &Range<usize>, value: f64, least: f64, most: f64) -> Option<Value> {
        if value.is_finite() {
            return self.bounded(
                span,
                value,
                (least, most),
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

    fn unit(
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

    fn address(&mut self, span: Range<usize>) {
        let label = "a host or IP address, a colon and a port from 1 to 65535".to_string();
        self.add(
            Code::InvalidAddress,
            Some(span),
            label,
            Some("such as \"127.0.0.1:7001\"".into()),
        );
    }

    /// Settings that must be there, at the top and in each table that is.
    fn require(&mut self) {
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
                        let mut here = path.split(SEPARATOR);
                        let table = (here.next(), here.next(), here.next());
                        if matches!(table, (Some(first), Some(_), None) if first == group) {
                            let full = format!("{path}{SEPARATOR}{name}");
                            if !self.values.contains_key(&full) && !self.tried(&full) {
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
                    let full = joined(&parts);
                    if !self.values.contains_key(&full) && !self.tried(&full) {
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

    /// The file names it, though its value is no good: that has been told.
    fn tried(&self, path: &str) -> bool {
        let name = path.rsplit(SEPARATOR).next().unwrap_or(path);
        self.findings
            .iter()
            .flat_map(|finding| &finding.locations)
            .any(|place| {
                let line = place.span.as_ref().map(|span| {
                    let start = self.text[..span.start.min(self.text.len())]
                        .rfind('\n')
                        .map_or(0, |at| at + 1);
                    self.text[start..span.start.min(self.text.len())].trim_start()
                });
                line.is_some_and(|line| line.starts_with(name))
            })
    }

    /// A value that the file gives.
    #[must_use]
    pub fn explicit_value(&self, path: &[&str]) -> Option<&SpannedValue> {
        self.values.get(&joined(path))
    }

    /// Where a value stands, or the name of its table, or nothing.
    #[must_use]
    pub fn span(&self, path: &[&str]) -> Option<Range<usize>> {
        let given = self.explicit_value(path).map(|found| found.span.clone());
        given.or_else(|| {
            (1..path.len())
                .rev()
                .find_map(|length| self.tables.get(&joined(&path[..length])).cloned())
        })
    }

    /// Names of the tables below a group, such as the classes, in alphabetical order.
    #[must_use]
    pub fn table_names(&self, group: &str) -> Vec<String> {
        let below = |path: &String| {
            let mut parts = path.split(SEPARATOR);
            match (parts.next(), parts.next(), parts.next()) {
                (Some(first), Some(name), None) if first == group => Some(name.to_string()),
                _ => None,
            }
        };
        self.tables.keys().filter_map(below).collect()
    }

    /// A value in force: the file's, or the default; none where there is neither.
    #[must_use]
    pub fn value(&self, path: &[&str]) -> Option<Value> {
        if let Some(found) = self.explicit_value(path) {
            return Some(found.value.clone());
        }
        let field = self
            .settings
            .find(&joined(path))
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

    /// A time in force, microseconds; zero where there is none.
    #[must_use]
    pub fn time(&self, path: &[&str]) -> i64 {
        if let Some(Value::Time(micros)) = self.value(path) {
            micros
        } else {
            0
        }
    }

    /// A size in force, bytes; zero where there is none.
    #[must_use]
    pub fn size(&self, path: &[&str]) -> u64 {
        if let Some(Value::Size(bytes)) = self.value(path) {
            bytes
        } else {
            0
        }
    }

    /// A whole number in force; zero where there is none.
    #[must_use]
    pub fn count(&self, path: &[&str]) -> u64 {
        if let Some(Value::Count(count)) = self.value(path) {
            count
        } else {
            0
        }
    }

    /// A number in force; zero where there is none.
    #[must_use]
    pub fn number_of(&self, path: &[&str]) -> f64 {
        if let Some(Value::Number(number)) = self.value(path) {
            number
        } else {
            0.0
        }
    }

    /// A flag in force.
    #[must_use]
    pub fn flag(&self, path: &[&str]) -> bool {
        matches!(self.value(path), Some(Value::Flag(true)))
    }

    /// A text in force.
    #[must_use]
    pub fn text_of(&self, path: &[&str]) -> Option<String> {
        if let Some(Value::Text(text)) = self.value(path) {
            Some(text)
        } else {
            None
        }
    }

    /// A path in force, counted from the file's own folder.
    #[must_use]
    pub fn path_of(&self, path: &[&str]) -> Option<PathBuf> {
        let folder = self.path.parent().unwrap_or(Path::new(""));
        self.text_of(path).map(|text| folder.join(text))
    }

    /// A list that the file gives.
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

fn article(word: &str) -> &'static str {
    if word.starts_with(['a', 'e', 'i', 'o', 'u']) {
        "an"
    } else {
        "a"
    }
}

/// True for names that can stand in paths and headers.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=64).contains(&text.len()) && text.chars().all(allowed) && !text.starts_with('.')
}

/// A host and a port.
#[must_use]
pub fn host_and_port(text: &str) -> Option<(&str, u16)> {
    let (host, port) = text.rsplit_once(':')?;
    let port = port.parse().ok().filter(|&port| port > 0)?;
    let bare = host
        .strip_prefix('[')
        .and_then(|host| host.strip_suffix(']'));
    let sound = match bare {
        Some(address) => address.parse::<std::net::Ipv6Addr>().is_ok(),
        None if host
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.') =>
        {
            host.parse::<std::net::Ipv4Addr>().is_ok()
        }
        None => {
            let label = |label: &str| {
                (1..=63).contains(&label.len())
                    && label
                        .bytes()
                        .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
                    && !label.starts_with('-')
                    && !label.ends_with('-')
            };
            host.len() <= 253 && host.trim_end_matches('.').split('.').all(label)
        }
    };
    sound.then_some((bare.unwrap_or(host), port))
}

fn is_address(text: &str) -> bool {
    host_and_port(text).is_some()
}
