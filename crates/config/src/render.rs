//! Findings as people read them, drawn by miette.

use crate::finding::Finding;
use miette::{
    Diagnostic, GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, Severity,
    SourceCode,
};
use std::fmt;
use std::path::PathBuf;

/// One place of a finding as miette wants it.
#[derive(Debug)]
struct Drawn {
    code: String,
    title: String,
    help: Option<String>,
    source: Option<NamedSource<String>>,
    labels: Vec<LabeledSpan>,
    related: Vec<Drawn>,
    main: bool,
}

impl fmt::Display for Drawn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.title)
    }
}

impl std::error::Error for Drawn {}

impl Diagnostic for Drawn {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.main
            .then(|| Box::new(&self.code) as Box<dyn fmt::Display>)
    }

    fn severity(&self) -> Option<Severity> {
        Some(if self.main {
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

/// Draws a finding. `text_of` gives the text of a file, and `color` asks for colours.
pub fn to_text(
    finding: &Finding,
    text_of: impl Fn(&PathBuf) -> Option<String>,
    color: bool,
) -> String {
    let mut drawn: Vec<Drawn> = Vec::new();
    for place in &finding.locations {
        let name = place.path.display().to_string();
        let text = text_of(&place.path).unwrap_or_default();
        let label = place.span.as_ref().map(|span| {
            let length = span.end.saturating_sub(span.start);
            LabeledSpan::new(
                Some(place.label.clone()),
                span.start.min(text.len()),
                length,
            )
        });
        // places in one file share its picture
        let same = drawn.iter_mut().find(|one| {
            one.source
                .as_ref()
                .is_some_and(|source| source.name() == name)
        });
        match (same, label) {
            (Some(one), Some(label)) => one.labels.push(label),
            (None, label) => {
                let title = match (drawn.is_empty(), &label) {
                    (true, Some(_)) => finding.code.title().to_string(),
                    (true, None) => format!("{}: {name}: {}", finding.code.title(), place.label),
                    (false, _) => format!("beside {name}"),
                };
                drawn.push(Drawn {
                    code: finding.code.text().to_string(),
                    title,
                    help: None,
                    source: label.is_some().then(|| NamedSource::new(name, text)),
                    labels: label.into_iter().collect(),
                    related: Vec::new(),
                    main: drawn.is_empty(),
                });
            }
            (Some(_), None) => {}
        }
    }
    let mut rest = drawn.into_iter();
    let Some(mut main) = rest.next() else {
        return String::new();
    };
    main.related = rest.collect();
    main.help = finding.help.clone();
    let theme = if color {
        GraphicalTheme::unicode()
    } else {
        GraphicalTheme::unicode_nocolor()
    };
    let mut text = String::new();
    // a picture that can't be drawn is told plainly
    if GraphicalReportHandler::new_themed(theme)
        .with_width(100)
        .render_report(&mut text, &main)
        .is_err()
    {
        text = format!("{} {}\n", finding.code.text(), finding.code.title());
    }
    text
}
