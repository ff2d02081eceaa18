//! Prints the columns of a store's file as text.

use rusqlite::Connection;
use rusqlite::types::Value;
use std::fmt::Write as _;
use std::path::Path;

/// The pragmas that identify the file's format, the schema, and every column of every row.
pub(super) fn describe_columns(path: &Path) -> String {
    let connection = Connection::open(path).expect("opened");
    let mut text = String::new();
    for name in ["application_id", "user_version", "page_size", "auto_vacuum"] {
        let value: i64 = connection
            .pragma_query_value(None, name, |row| row.get(0))
            .expect("a pragma");
        writeln!(text, "{name} = {value}").expect("text");
    }
    let mut schema = connection
        .prepare("SELECT sql FROM sqlite_schema WHERE sql NOT NULL")
        .expect("a statement");
    let statements = schema
        .query_map([], |row| row.get::<_, String>(0))
        .expect("read");
    for statement in statements {
        writeln!(text, "{}", statement.expect("read")).expect("text");
    }
    write_table(&connection, "meta", &mut text);
    write_table(&connection, "message", &mut text);
    text
}

fn write_table(connection: &Connection, table: &str, text: &mut String) {
    let mut statement = connection
        .prepare(&format!("SELECT * FROM {table} ORDER BY 1"))
        .expect("a statement");
    let names: Vec<String> = statement.column_names().map(str::to_string).collect();
    let mut rows = statement.query([]).expect("read");
    while let Some(row) = rows.next().expect("read") {
        writeln!(text, "\n{table}").expect("text");
        for (index, name) in names.iter().enumerate() {
            let value = match row.get(index).expect("a value") {
                Value::Text(value) => format!("text {value}"),
                Value::Blob(value) => format!("blob {}", value.escape_ascii()),
                other => format!("{other:?}"),
            };
            writeln!(text, "  {name} = {value}").expect("text");
        }
    }
}
