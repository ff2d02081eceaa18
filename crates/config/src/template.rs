//! Generates a commented configuration file for a new application.

use crate::fields::FIELDS;

/// The text of the file. It has one class with the given effect, and one destination with the given endpoint. Messages
/// are submitted at `port` and outcomes are read at `port + 100`. Each setting is preceded by its meaning; a setting
/// that the file does not set is commented out, with its default, or with `...` if it has none.
#[must_use]
pub fn new(name: &str, port: u16, effect: &str, endpoint: &str) -> String {
    let mut text = format!(
        "# The sidecar of {name}. `milletturn config check FILE` says what is wrong with it,\n\
         # `milletturn config show FILE` what is in force.\n"
    );
    let mut group = String::new();
    for field in FIELDS {
        let mut parts: Vec<&str> = field.path.split('.').collect();
        let last = parts.pop().unwrap_or("");
        let table = match parts[..] {
            ["class", _] => "class.notice".to_string(),
            ["destination", _] => "destination.first".to_string(),
            // commented out, since the table's presence alone would define a redrive rule
            ["resend", _] => "# [resend.by-rule]".to_string(),
            _ => parts.join("."),
        };
        if table != group {
            text.push_str(&match table.starts_with('#') {
                true => format!("\n{table}\n"),
                false => format!("\n[{table}]\n"),
            });
            group = table;
        }
        let value = match field.path {
            "name" => format!("{name:?}"),
            "state" => format!("\"{name}.state\""),
            "listen.http" => format!("\"127.0.0.1:{port}\""),
            "listen.outcomes" => format!("\"127.0.0.1:{}\"", port.saturating_add(100)),
            "class.*.effect" => format!("{effect:?}"),
            "class.*.window" if effect == "keyed" => "\"20s\"".to_string(),
            "destination.*.id" => "1".to_string(),
            "destination.*.endpoints" => format!("[{endpoint:?}]"),
            "retry.copies" if effect == "unsafe" => "false".to_string(),
            _ => {
                let default = if field.default.is_empty() {
                    "..."
                } else {
                    field.default
                };
                text.push_str(&format!("# {}\n# {last} = {default}\n", field.doc));
                continue;
            }
        };
        text.push_str(&format!("# {}\n{last} = {value}\n", field.doc));
    }
    text
}
