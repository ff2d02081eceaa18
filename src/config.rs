//! `milletturn config`: writes, checks, shows and explains configurations of sidecars.

use crate::format::Format;
use crate::output;
use clap::{Args, Subcommand};
use milletturn_config::check::budgets;
use milletturn_config::codes::Code;
use milletturn_config::document::{Document, Value};
use milletturn_config::fields::{FIELDS, Field, Kind};
use milletturn_config::units::{format_size, format_time};
use milletturn_config::{check_documents, check_files, render, schema, template, text_by_path};
use milletturn_sidecar::{endpoints, environment};
use std::fmt::Display;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Write, check, show and explain configurations of sidecars.
///
/// Exit codes: 0 no findings; 1 at least one finding; 2 an argument is invalid.
#[derive(Debug, Args)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check one file, or all files of the sidecars on one machine together, and report all findings.
    Check {
        /// Configurations of sidecars, and endpoints files that they name.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Also check what depends on this machine: folders, locks, ports and endpoints files.
        #[arg(long)]
        here: bool,
        /// The output: text for people, or JSON for programs.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Explain what a code of a finding means and what to do; without a code, list all codes.
    Explain {
        /// The code, such as MT031.
        code: Option<String>,
    },
    /// Show all effective values with their sources, and the budgets calculated from them.
    Show {
        /// The configuration.
        file: PathBuf,
    },
    /// Print a commented configuration for an application. Values without a flag are prompted for on a terminal, and
    /// have defaults otherwise.
    New {
        /// The application's name.
        #[arg(long)]
        name: Option<String>,
        /// The port on which messages are submitted. The port for outcomes is 100 higher.
        #[arg(long)]
        port: Option<u16>,
        /// What happens at the destination if a message is repeated: no harm is done (repeatable), the repeat is
        /// dropped by its key (keyed), or harm may be done (unsafe).
        #[arg(long, value_parser = EFFECTS)]
        effect: Option<String>,
        /// The address of the first endpoint of the first destination.
        #[arg(long)]
        endpoint: Option<String>,
    },
    /// Print the JSON Schema of configurations, for editors.
    Schema,
    /// Print the reference page of all settings and codes, as Markdown.
    Reference,
}

/// Values of `--effect`: what a repeat of a message does at its destination.
const EFFECTS: [&str; 3] = ["repeatable", "keyed", "unsafe"];

/// The number of findings as text, such as "1 finding" or "2 findings".
pub(crate) fn findings_count_text(count: usize) -> String {
    format!("{count} finding{}", if count == 1 { "" } else { "s" })
}

/// Prints all findings of the documents and returns their number. Text goes to standard error, JSON to standard output.
pub(crate) fn report(documents: &[Document], format: Format) -> usize {
    let findings = milletturn_config::findings(documents);
    let color = std::io::stderr().is_terminal();
    for finding in &findings {
        // write errors are ignored, because the result depends only on the number of findings
        match format {
            Format::Json => {
                let plain = finding.to_json_form(text_by_path(documents));
                let _ = output::print_line(serde_json::to_string(&plain).unwrap_or_default());
            }
            Format::Text => {
                let text = render::to_text(finding, text_by_path(documents), color);
                let _ = write!(std::io::stderr(), "{text}");
            }
        }
    }
    findings.len()
}

/// Runs a command and returns its exit code.
pub(crate) fn run(arguments: &Arguments) -> ExitCode {
    match &arguments.command {
        Command::Check {
            files,
            here,
            format,
        } => check(files, *here, *format),
        Command::Explain { code: None } => list_codes(),
        Command::Explain { code: Some(code) } => explain(code),
        Command::Show { file } => {
            let documents = check_files(std::slice::from_ref(file));
            let finding_count = report(&documents, Format::Text);
            documents.iter().for_each(show);
            exit_code(finding_count)
        }
        Command::New {
            name,
            port,
            effect,
            endpoint,
        } => new(NewOptions {
            name: name.clone(),
            port: port.map(|port| port.to_string()),
            effect: effect.clone(),
            endpoint: endpoint.clone(),
        }),
        Command::Schema => print(format_args!("{}\n", schema::json())),
        Command::Reference => print(schema::reference()),
    }
}

/// Prints a text and returns the exit code for success, also if standard output can't be written.
fn print(text: impl Display) -> ExitCode {
    let _ = output::print(text);
    ExitCode::SUCCESS
}

/// Returns exit code 1 if there are findings, else 0.
fn exit_code(finding_count: usize) -> ExitCode {
    ExitCode::from(u8::from(finding_count > 0))
}

/// Checks files together. All configurations are checked as those of sidecars that run on the same machine, and each
/// endpoints file is checked against the configurations that name it.
fn check(files: &[PathBuf], here: bool, format: Format) -> ExitCode {
    let read = files.iter().map(|file| Document::read(file));
    let (mut lists, sidecars): (Vec<_>, Vec<_>) =
        read.partition(|document| endpoints::is_list(&document.text));
    let mut documents = check_documents(sidecars);
    for list in &mut lists {
        endpoints::check_list(list, &mut documents);
    }
    if here {
        let valid = documents
            .iter_mut()
            .filter(|document| document.findings.is_empty());
        for document in valid {
            let _ = environment::check(document, environment::CheckMode::ReadOnly);
        }
    }
    documents.append(&mut lists);
    let finding_count = report(&documents, format);
    if format == Format::Text && finding_count == 0 {
        return print(format_args!("{} sound\n", files.len()));
    }
    if format == Format::Text {
        let _ = writeln!(
            std::io::stderr(),
            "{}; `milletturn config explain CODE` says more",
            findings_count_text(finding_count)
        );
    }
    exit_code(finding_count)
}

/// Prints all codes of findings with their titles.
fn list_codes() -> ExitCode {
    let codes = Code::ALL.iter();
    let _ = output::print_lines(codes.map(|code| format!("{}  {}", code.text(), code.title())));
    ExitCode::SUCCESS
}

/// Prints what a code means and what to do; an unknown code is a usage error.
fn explain(code_name: &str) -> ExitCode {
    let found = Code::ALL
        .iter()
        .find(|code| code.text().eq_ignore_ascii_case(code_name));
    let Some(code) = found else {
        eprintln!(
            "milletturn: there is no code {code_name}; `milletturn config explain` lists them"
        );
        return ExitCode::from(2);
    };
    let (code, title, text) = (code.text(), code.title(), code.explain());
    print(format_args!("{code}: {title}\n\n{text}\n"))
}

/// Values for `config new` as given by flags. Missing values are prompted for on a terminal.
struct NewOptions {
    name: Option<String>,
    port: Option<String>,
    effect: Option<String>,
    endpoint: Option<String>,
}

/// Prints a commented configuration; invalid values are a usage error.
fn new(options: NewOptions) -> ExitCode {
    let name = prompt_unless_given(options.name, "The application's name", "application");
    let port = prompt_unless_given(options.port, "Port on which it submits messages", "7001");
    let Ok(port) = port.parse::<u16>() else {
        eprintln!("milletturn: {port} is not a port number");
        return ExitCode::from(2);
    };
    let effect = prompt_unless_given(
        options.effect,
        "What a repeat of a message does: nothing (repeatable), it is dropped by its key (keyed), harm (unsafe)",
        "keyed",
    );
    let endpoint = prompt_unless_given(
        options.endpoint,
        "Address of the first endpoint of the first destination",
        "127.0.0.1:9001",
    );
    let text = template::new(&name, port, &effect, &endpoint);
    let documents = check_documents(vec![Document::parse(Path::new("new.toml"), text.clone())]);
    if report(&documents, Format::Text) > 0 {
        return ExitCode::from(2);
    }
    print(text)
}

/// Returns the value of the flag, else the user's input if there is a terminal, else the default.
fn prompt_unless_given(flag: Option<String>, question: &str, default: &str) -> String {
    let is_terminal = std::io::stdin().is_terminal() && std::io::stderr().is_terminal();
    match flag {
        Some(value) => value,
        None if is_terminal => prompt(question, default),
        None => default.to_string(),
    }
}

/// Prompts on the terminal. Empty or missing input gives the default.
fn prompt(question: &str, default: &str) -> String {
    let _ = write!(std::io::stderr(), "{question} [{default}]: ");
    let mut input = String::new();
    let read = std::io::stdin().read_line(&mut input).is_ok();
    let input = input.trim();
    if read && !input.is_empty() {
        input.to_string()
    } else {
        default.to_string()
    }
}

/// Prints all effective values of a configuration with their sources, and the budgets calculated from them.
fn show(document: &Document) {
    let mut lines = Vec::new();
    for field in FIELDS {
        let parts: Vec<&str> = field.path.split('.').collect();
        match parts[..] {
            [group, "*", name] => {
                for table in document.table_names(group) {
                    lines.extend(setting_line(document, field, &[group, &table, name]));
                }
            }
            _ => lines.extend(setting_line(document, field, &parts)),
        }
    }
    lines.push(format!("# undelivered: {}", describe_store(document)));
    for budget in budgets(document) {
        lines.push(format!("# {}: {}", budget.setting, budget.description()));
    }
    let _ = output::print_lines(lines);
}

/// Formats an effective value with its source, a line of the file or "default"; `None` if the setting has no value.
fn setting_line(document: &Document, field: &Field, path: &[&str]) -> Option<String> {
    let value = document.value(path)?;
    let source = match document.explicit_value(path) {
        Some(found) => {
            let (line, _) = milletturn_config::finding::position(&document.text, found.span.start);
            format!("{}:{line}", document.path.display())
        }
        None => "default".to_string(),
    };
    let (path, value) = (path.join("."), value_text(&value, field.kind));
    Some(format!("{path:<36} {value:<28} # {source}"))
}

/// Describes in words which undelivered messages are stored, and which rules redrive them.
fn describe_store(document: &Document) -> String {
    if !document.flag(&["undelivered", "keep"]) {
        return "nothing is kept; undelivered.keep = true keeps it".to_string();
    }
    let returned = document.flag(&["undelivered", "returned"]);
    let what = if returned {
        "what failed or was returned is kept"
    } else {
        "what failed is kept, not what was returned"
    };
    let rules = document.table_names("resend");
    if rules.is_empty() {
        return format!("{what}; nothing is sent again by rule (no [resend.NAME])");
    }
    let retries = returned && document.flag(&["undelivered", "application_retries"]);
    let only = if retries {
        ", but what was returned only by a person's word (undelivered.application_retries)"
    } else {
        ""
    };
    format!("{what}; sent again by {}{only}", rules.join(", "))
}

/// Formats a value as it is written in TOML.
fn value_text(value: &Value, kind: Kind) -> String {
    match value {
        Value::Text(text) => format!("{text:?}"),
        Value::List(list) => format!(
            "{:?}",
            list.iter().map(|(text, _)| text).collect::<Vec<_>>()
        ),
        Value::Time(micros) => format!("\"{}\"", format_time(*micros)),
        Value::Size(bytes) => format!("\"{}\"", format_size(*bytes)),
        Value::Count(count) => count.to_string(),
        Value::Number(number) if matches!(kind, Kind::Number(..)) => format!("{number:?}"),
        Value::Number(number) => number.to_string(),
        Value::Flag(flag) => flag.to_string(),
    }
}
