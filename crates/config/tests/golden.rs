//! Compatibility of the configuration's external names with recorded data: keys of settings, units, codes, the JSON
//! form of findings, and the JSON Schema. The tests fail when a change to the code changes one of them.

use milletturn_config::check_documents;
use milletturn_config::codes::Code;
use milletturn_config::document::{Document, Value};
use milletturn_config::fields::FIELDS;
use milletturn_config::{findings, schema, text_by_path};
use std::path::Path;

fn golden(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Fails if a text differs from that of a golden file.
fn assert_golden(name: &str, text: &str) {
    assert_eq!(text, golden(name), "{name}");
}

fn parse_golden(name: &str) -> Document {
    Document::parse(
        Path::new(name.rsplit('/').next().unwrap_or(name)),
        golden(name),
    )
}

fn describe(value: &Value) -> String {
    match value {
        Value::Text(text) => format!("text {text}"),
        Value::List(list) => {
            let list: Vec<&str> = list.iter().map(|(text, _)| text.as_str()).collect();
            format!("list {}", list.join(" "))
        }
        Value::Time(micros) => format!("microseconds {micros}"),
        Value::Size(bytes) => format!("bytes {bytes}"),
        Value::Count(count) => format!("count {count}"),
        Value::Number(number) => format!("number {number}"),
        Value::Flag(flag) => format!("flag {flag}"),
    }
}

#[test]
fn every_setting_has_an_unchanged_key_and_meaning() {
    let document = check_documents(vec![parse_golden("all.toml")]).remove(0);
    assert!(document.findings.is_empty(), "{:?}", document.findings);
    let mut lines = String::new();
    let mut line = |path: &[&str]| {
        let given = document.explicit_value(path).is_some();
        let value = document
            .value(path)
            .map_or("none".to_string(), |value| describe(&value));
        let from = if given { "given" } else { "default" };
        lines.push_str(&format!("{} = {value} ({from})\n", path.join(".")));
    };
    for field in FIELDS {
        let parts: Vec<&str> = field.path.split('.').collect();
        match parts[..] {
            [group, "*", name] => {
                for table in document.table_names(group) {
                    line(&[group, &table, name]);
                }
            }
            _ => line(&parts),
        }
    }
    assert_golden("all.values.txt", &lines);
    // all.toml must set each setting, so that this test covers how each value is read, and not only its default
    for field in FIELDS {
        let (table, name) = field.path.rsplit_once('.').unwrap_or(("", field.path));
        let table = table.trim_end_matches(".*");
        let given = lines.lines().any(|line| {
            let (path, _) = line.split_once(" = ").unwrap_or_default();
            path.starts_with(table)
                && path.rsplit('.').next() == Some(name)
                && line.ends_with("(given)")
        });
        assert!(given, "{} is not in all.toml", field.path);
    }
}

#[test]
fn findings_as_json_have_unchanged_keys_codes_and_positions() {
    let lines = |documents: &[Document]| -> String {
        let found = findings(documents);
        let json_forms = found
            .iter()
            .map(|finding| finding.to_json_form(text_by_path(documents)));
        json_forms
            .map(|finding| serde_json::to_string(&finding).expect("valid JSON") + "\n")
            .collect()
    };
    let alone = check_documents(vec![parse_golden("plain/broken.toml")]);
    assert_golden("plain/broken.jsonl", &lines(&alone));
    let together = check_documents(vec![
        parse_golden("plain/first.toml"),
        parse_golden("plain/second.toml"),
    ]);
    assert_golden("plain/neighbours.jsonl", &lines(&together));
    // the recorded finding with code MT005 has the expected values under the expected keys
    let recorded = golden("plain/broken.jsonl");
    let line = recorded
        .lines()
        .find(|line| line.contains("MT005"))
        .expect("a finding with code MT005");
    let first: serde_json::Value = serde_json::from_str(line).expect("valid JSON");
    let location = &first["places"][0];
    assert_eq!(first["code"], "MT005");
    assert_eq!(first["title"], "there is no such setting");
    assert_eq!(first["help"], "did you mean `name`?");
    assert_eq!(
        (&location["file"], &location["text"]),
        (&"broken.toml".into(), &"nam".into())
    );
    assert_eq!(
        (&location["line"], &location["column"]),
        (&1.into(), &1.into())
    );
    assert_eq!(
        (&location["end_line"], &location["end_column"]),
        (&1.into(), &4.into())
    );
    assert_eq!(location["label"], "unknown");
}

#[test]
fn code_numbers_and_the_schema_text_are_unchanged() {
    let codes: String = Code::ALL
        .iter()
        .map(|code| format!("{} {}\n", code.text(), code.title()))
        .collect();
    assert_golden("codes.txt", &codes);
    assert_golden("schema.json", &(schema::json() + "\n"));
}
