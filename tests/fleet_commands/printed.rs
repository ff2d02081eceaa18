//! The text and JSON that the `fleet` commands print and their exit codes, compared with a golden file.

use crate::PROGRAM;
use crate::fake_coordinator::{BACKUP, FakeCoordinator, NO_LEADER, STATE, STATUS};
use crate::golden::assert_matches_golden;
use std::process::Command;
use std::sync::Arc;

/// Runs a `fleet` command against these coordinators; returns its standard output and exit code as one text.
fn run_fleet(coordinators: &[&FakeCoordinator], arguments: &[impl AsRef<str>]) -> String {
    let mut command = Command::new(PROGRAM);
    command
        .arg("fleet")
        .args(arguments.iter().map(AsRef::as_ref))
        .args(["--group", "north", "--wait", "10"]);
    for coordinator in coordinators {
        command.args(["--steward", &coordinator.address.to_string()]);
    }
    let output = command.output().expect("the process starts");
    let text = String::from_utf8(output.stdout).expect("text");
    let text = coordinators
        .iter()
        .fold(text, |text, coordinator| coordinator.mask(&text));
    format!(
        "> {}\n{text}< {}\n\n",
        arguments
            .iter()
            .map(AsRef::as_ref)
            .collect::<Vec<_>>()
            .join(" "),
        output.status.code().expect("not killed")
    )
}

/// A coordinator that leads and carries out commands.
fn start_leader() -> FakeCoordinator {
    FakeCoordinator::start(Arc::new(|path, body| {
        Some(match path {
            "/v1/status" => (200, STATUS.to_string()),
            "/v1/book" => (200, STATE.to_string()),
            "/v1/backup" => (200, BACKUP.to_string()),
            _ if body.contains("\"term\":5") => (200, "\"done\"".to_string()),
            _ => (
                404,
                r#"{"why":"no such path","leader":null,"may_have_happened":false}"#.to_string(),
            ),
        })
    }))
}

/// A coordinator that rejects commands.
fn start_rejecting() -> FakeCoordinator {
    FakeCoordinator::start(Arc::new(|path, _| {
        Some(match path {
            "/v1/status" => (409, NO_LEADER.replace("another steward", "who knows who")),
            "/v1/book" => (200, STATE.to_string()),
            _ => (
                200,
                r#"{"refused":{"fenced":{"work":"list","term":5,"now":6}}}"#.to_string(),
            ),
        })
    }))
}

/// The output of each command in this format.
fn output_of_commands(
    leader: &FakeCoordinator,
    rejecting: &FakeCoordinator,
    format: &str,
) -> String {
    let mut text = String::new();
    let with_format = |arguments: &[&'static str]| -> Vec<String> {
        let arguments = arguments.iter().chain(&["--format"]);
        let arguments = arguments.map(ToString::to_string);
        arguments.chain([format.to_string()]).collect()
    };
    text += &run_fleet(&[leader, rejecting], &with_format(&["status"]));
    text += &run_fleet(&[rejecting], &with_format(&["status"]));
    for arguments in [
        &["members"][..],
        &["work"],
        &["work", "list"],
        &["work", "nothing"],
        &["release-work", "list"],
        &["release-work", "limits"],
    ] {
        text += &run_fleet(&[leader], &with_format(arguments));
    }
    text += &run_fleet(&[rejecting], &with_format(&["release-work", "list"]));
    text
}

#[test]
fn output_and_exit_codes_of_fleet_commands_match_the_golden_file() {
    let (leader, rejecting) = (start_leader(), start_rejecting());
    let folder = tempfile::tempdir().expect("the folder is created");
    let file = folder.path().join("backup.json");
    let formats = ["json", "text"].map(|format| output_of_commands(&leader, &rejecting, format));
    assert_matches_golden("fleet.txt", &formats.concat());
    let path = file.to_str().expect("text");
    let output = run_fleet(&[&leader], &["backup", path]);
    assert_eq!(output, format!("> backup {path}\n< 0\n\n"));
    assert_eq!(std::fs::read_to_string(&file).expect("written"), BACKUP);
    let requests: Vec<String> = leader
        .requests
        .lock()
        .expect("not poisoned")
        .iter()
        .cloned()
        .collect();
    assert_eq!(
        requests,
        [
            "GET /v1/backup HTTP/1.1 ",
            "GET /v1/book HTTP/1.1 ",
            "GET /v1/status HTTP/1.1 ",
            "POST /v1/order HTTP/1.1 {\"free\":{\"work\":\"list\",\"term\":5}}",
        ]
    );
    // exit codes if no coordinator is named, and if none responds
    assert_eq!(run_fleet(&[], &["status"]), "> status\n< 2\n\n");
    let unanswered = Command::new(PROGRAM)
        .args([
            "fleet",
            "work",
            "--group",
            "north",
            "--steward",
            "127.0.0.1:1",
            "--wait",
            "1",
        ])
        .output()
        .expect("the process starts");
    assert_eq!(
        (unanswered.status.code(), unanswered.stdout.len()),
        (Some(3), 0)
    );
}
