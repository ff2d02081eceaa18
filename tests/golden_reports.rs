//! Compares what `account` and `config` print with golden files that an earlier build wrote: columns, JSON keys, wording and
//! exit codes.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The path of a golden file or folder.
fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Runs a command in the folder of its input files, so that printed paths are the same everywhere. Returns both output
/// streams and the exit code as one text.
fn run(folder: &str, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_milletturn"))
        .args(arguments)
        .current_dir(golden(folder))
        .stdin(Stdio::null())
        .output()
        .expect("the command runs");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    let code = output.status.code().expect("no signal ended the command");
    format!(
        "> {}\n{}--- standard error\n{}--- exit code {code}\n",
        arguments.join(" "),
        text(output.stdout),
        text(output.stderr)
    )
}

/// Fails if a text differs from the golden file of this name.
fn assert_matches_golden(name: &str, text: &str) {
    assert_eq!(
        text,
        std::fs::read_to_string(golden(name)).expect("stored"),
        "{name}"
    );
}

#[test]
fn access_log_reports_of_stored_logs_match_the_golden_files() {
    let logs = ["first.log", "second.log"];
    let table = run("account", &["account", logs[0], logs[1]]);
    assert_matches_golden("account/table.txt", &table);
    assert_matches_golden(
        "account/rows.txt",
        &run(
            "account",
            &["account", logs[0], logs[1], "--format", "json"],
        ),
    );
    let options = [
        "account",
        logs[0],
        logs[1],
        "--destination",
        "9",
        "--span",
        "2",
        "--format",
        "json",
    ];
    assert_matches_golden("account/options.txt", &run("account", &options));
    assert_matches_golden(
        "account/nothing.txt",
        &run("account", &["account", "table.txt"]),
    );
    assert_matches_golden(
        "account/missing.txt",
        &run("account", &["account", "none.log"]),
    );
}

#[test]
fn config_commands_match_the_golden_files() {
    for (name, arguments) in [
        (
            "broken.json.txt",
            &["config", "check", "broken.toml", "--format", "json"][..],
        ),
        ("broken.txt", &["config", "check", "broken.toml"]),
        (
            "neighbours.json.txt",
            &[
                "config",
                "check",
                "--format",
                "json",
                "first.toml",
                "second.toml",
            ],
        ),
        ("sound.txt", &["config", "check", "first.toml"]),
        (
            "sound.json.txt",
            &["config", "check", "first.toml", "--format", "json"],
        ),
        ("show.txt", &["config", "show", "first.toml"]),
        ("codes.txt", &["config", "explain"]),
        ("code.txt", &["config", "explain", "mt031"]),
        ("no-code.txt", &["config", "explain", "MT999"]),
        (
            "new.txt",
            &[
                "config", "new", "--name", "shop", "--port", "7011", "--effect", "unsafe",
            ],
        ),
    ] {
        assert_matches_golden(&format!("config/{name}"), &run("config", arguments));
    }
    let all = Path::new(env!("CARGO_MANIFEST_DIR")).join("crates/config/tests/golden");
    let schema = run("config", &["config", "schema"]);
    let stored = std::fs::read_to_string(all.join("schema.json")).expect("stored");
    assert_eq!(
        schema,
        format!("> config schema\n{stored}--- standard error\n--- exit code 0\n")
    );
}

#[test]
fn commands_exit_without_an_error_when_their_output_pipe_is_closed() {
    for (folder, arguments) in [
        ("account", &["access-log", "first.log", "second.log"][..]),
        ("account", &["access-log", "first.log", "--format", "json"]),
        ("config", &["config", "explain"]),
        ("config", &["config", "show", "first.toml"]),
        ("config", &["config", "schema"]),
        ("config", &["demo", "--once"]),
    ] {
        let (reader, writer) = std::io::pipe().expect("a pipe");
        drop(reader);
        let output = Command::new(env!("CARGO_BIN_EXE_milletturn"))
            .args(arguments)
            .current_dir(golden(folder))
            .stdin(Stdio::null())
            .stdout(writer)
            .output()
            .expect("the command runs");
        let errors = String::from_utf8(output.stderr).expect("text");
        assert!(output.status.success(), "{arguments:?}: {errors}");
        assert!(!errors.contains("panicked"), "{arguments:?}: {errors}");
    }
}

#[test]
fn former_command_names_are_aliases() {
    let old = run("account", &["account", "first.log", "second.log"]);
    let new = run("account", &["access-log", "first.log", "second.log"]);
    assert_eq!(
        old.split_once('\n').expect("lines").1,
        new.split_once('\n').expect("lines").1
    );
    for (old, new) in [
        ("steward", "coordinator"),
        ("relay", "session-proxy"),
        ("undelivered", "dead-letter"),
        ("account", "access-log"),
    ] {
        let help = |command: &str| run("config", &[command, "--help"]);
        let without_command_line =
            |text: String| text.split_once('\n').expect("lines").1.to_string();
        assert_eq!(
            without_command_line(help(old)),
            without_command_line(help(new)),
            "{old}"
        );
    }
}
