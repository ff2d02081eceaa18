//! Renders findings as text for users, with the library miette.

use crate::finding::Finding;
use miette::{
    Diagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, Severity,
    SourceCode,
};
use std::fmt;
use std::path::PathBuf;

/// A miette diagnostic for a finding's locations in one file. The main report is the one for the file of the finding's
/// first location; it holds the reports for the other files in `related`.
#[derive(Debug)]
struct FileReport {
    code: String,
    title: String,
    help: Option<String>,
    source: Option<NamedSource<String>>,
    labels: Vec<LabeledSpan>,
    related: Vec<FileReport>,
    is_main: bool,
}

impl fmt::Display for FileReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.title)
    }
}

impl std::error::Error for FileReport {}

impl Diagnostic for FileReport {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.is_main
            .then(|| Box::new(&self.code) as Box<dyn fmt::Display>)
    }

    fn severity(&self) -> Option<Severity> {
        Some(if self.is_main {
            Severity::Error
        } else {
            Severity::Advice
        })
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.help
            .as_ref()
            .map(|help| Box::new(help) as Box<dyn fmt::Display>)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.source.as_ref().map(|source| source as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.labels.iter().cloned()))
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        if self.related.is_empty() {
            return None;
        }
        Some(Box::new(
            self.related.iter().map(|one| one as &dyn Diagnostic),
        ))
    }
}

/// Renders a finding as text. `text_of` returns the text of a file; `color` enables colours.
pub fn to_text(
    finding: &Finding,
    text_of: impl Fn(&PathBuf) -> Option<String>,
    color: bool,
) -> String {
    let mut reports: Vec<FileReport> = Vec::new();
    for location in &finding.locations {
        let name = location.path.display().to_string();
        let text = text_of(&location.path).unwrap_or_default();
        let label = location.span.as_ref().map(|span| {
            let length = span.end.saturating_sub(span.start);
            LabeledSpan::new(
                Some(location.label.clone()),
                span.start.min(text.len()),
                length,
            )
        });
        // locations in the same file share one report
        let existing = reports.iter_mut().find(|report| {
            report
                .source
                .as_ref()
                .is_some_and(|source| source.name() == name)
        });
        match (existing, label) {
            (Some(report), Some(label)) => report.labels.push(label),
            (None, label) => {
                let title = match (reports.is_empty(), &label) {
                    (true, Some(_)) => finding.code.title().to_string(),
                    (true, None) => format!("{}: {name}: {}", finding.code.title(), location.label),
                    (false, _) => format!("beside {name}"),
                };
                reports.push(FileReport {
                    code: finding.code.text().to_string(),
                    title,
                    help: None,
                    source: label.is_some().then(|| NamedSource::new(name, text)),
                    labels: label.into_iter().collect(),
                    related: Vec::new(),
                    is_main: reports.is_empty(),
                });
            }
            (Some(_), None) => {}
        }
    }
    let mut remaining = reports.into_iter();
    let Some(mut main_report) = remaining.next() else {
        return String::new();
    };
    main_report.related = remaining.collect();
    main_report.help = finding.help.clone();
    let theme = if color {
        GraphicalTheme::unicode()
    } else {
        GraphicalTheme::unicode_nocolor()
    };
    let mut text = String::new();
    // if miette fails, the code and title are printed alone
    if GraphicalReportHandler::new_themed(theme)
        .with_width(100)
        .render_report(&mut text, &main_report)
        .is_err()
    {
        text = format!("{} {}\n", finding.code.text(), finding.code.title());
    }
    text
}
