//! Generates two texts from the table of settings: the JSON Schema by which editors check configuration files, and the
//! reference page.

use crate::codes::Code;
use crate::fields::{FIELDS, Field, Kind};
use serde_json::{Map, Value, json};

const TIME_PATTERN: &str = "^[0-9]+(\\.[0-9]+)? ?(us|ms|s|m|h|d)$";
const SIZE_PATTERN: &str = "^[0-9]+(\\.[0-9]+)? ?(B|KB|MB|GB|KiB|MiB|GiB)$";

/// The schema of one setting's value.
fn field_schema(field: &Field) -> Value {
    let mut schema = match field.kind {
        Kind::Text | Kind::Path => json!({ "type": "string", "minLength": 1 }),
        Kind::Name => json!({ "type": "string", "pattern": "^[A-Za-z0-9_-][A-Za-z0-9_.-]{0,63}$" }),
        Kind::Address => json!({ "type": "string", "pattern": ":[0-9]{1,5}$" }),
        Kind::Addresses => {
            json!({ "type": "array", "minItems": 1, "items": { "type": "string", "pattern": ":[0-9]{1,5}$" } })
        }
        Kind::Time(..) => json!({ "type": "string", "pattern": TIME_PATTERN }),
        Kind::Size(..) => json!({ "type": "string", "pattern": SIZE_PATTERN }),
        Kind::Count(min, max) => json!({ "type": "integer", "minimum": min, "maximum": max }),
        Kind::Number(min, max) => json!({ "type": "number", "minimum": min, "maximum": max }),
        Kind::Flag => json!({ "type": "boolean" }),
        Kind::Choice(words) => json!({ "enum": words }),
    };
    schema["description"] = format!("{} ({})", field.doc, field.kind.description()).into();
    if !field.default.is_empty() {
        // defaults are in TOML notation; one that is not valid JSON as well becomes a string
        schema["default"] = serde_json::from_str(field.default)
            .unwrap_or_else(|_| field.default.trim_matches('"').into());
    }
    schema
}

/// The JSON Schema (draft 2020-12) of a sidecar's configuration.
pub fn json() -> String {
    let mut root = json!({ "type": "object", "additionalProperties": false, "properties": {} });
    for field in FIELDS {
        let parts: Vec<&str> = field.path.split('.').collect();
        let mut parent = &mut root;
        for (depth, part) in parts.iter().enumerate() {
            let is_last = depth + 1 == parts.len();
            if is_last && field.required {
                let required = &mut parent["required"];
                if required.is_null() {
                    *required = json!([]);
                }
                if let Some(list) = required.as_array_mut() {
                    list.push((*part).into());
                }
            }
            let child = if is_last {
                field_schema(field)
            } else {
                json!({ "type": "object", "additionalProperties": false, "properties": {} })
            };
            if *part == "*" {
                if !parent["additionalProperties"].is_object() {
                    parent["additionalProperties"] = child;
                }
                parent = &mut parent["additionalProperties"];
                continue;
            }
            let properties = parent["properties"]
                .as_object_mut()
                .map(std::mem::take)
                .unwrap_or_default();
            parent["properties"] = Value::Object(properties);
            let map: &mut Map<String, Value> = match parent["properties"].as_object_mut() {
                Some(map) => map,
                None => return String::new(),
            };
            parent = map.entry((*part).to_string()).or_insert(child);
        }
    }
    root["$schema"] = "https://json-schema.org/draft/2020-12/schema".into();
    root["title"] = "milletturn sidecar".into();
    serde_json::to_string_pretty(&root).unwrap_or_default()
}

/// The reference page of all settings and codes, as Markdown.
#[must_use]
pub fn reference() -> String {
    let mut text = "# Configuration of a sidecar\n\nWritten by `milletturn config reference`; a test holds this page to \
                    the program.\n\n## Settings\n"
        .to_string();
    let mut group = "\u{0}".to_string();
    for field in FIELDS {
        let table = field.path.rsplit_once('.').map_or("", |(table, _)| table);
        if table != group {
            let title = if table.is_empty() {
                "at the top".to_string()
            } else {
                format!("`[{}]`", table.replace('*', "NAME"))
            };
            text.push_str(&format!(
                "\n### {title}\n\n| setting | value | default | meaning |\n| --- | --- | --- | --- |\n"
            ));
            group = table.to_string();
        }
        let name = field.path.rsplit('.').next().unwrap_or(field.path);
        let default = match (field.required, field.default) {
            (true, _) => "must be given".to_string(),
            (false, "") => "none".to_string(),
            (false, default) => format!("`{default}`"),
        };
        text.push_str(&format!(
            "| `{name}` | {} | {default} | {} |\n",
            field.kind.description(),
            field.doc
        ));
    }
    text.push_str("\n## Codes\n");
    for code in Code::ALL {
        text.push_str(&format!(
            "\n### {}: {}\n\n{}\n",
            code.text(),
            code.title(),
            code.explain()
        ));
    }
    text
}
