//! `fleet` commands whose output can't be written: with a closed pipe, as behind `head -1`, they end without an error; with
//! a full device they fail.

use crate::PROGRAM;
use crate::fake_coordinator::{FakeCoordinator, NO_LEADER, STATE, STATUS};
use std::process::{Command, Stdio};
use std::sync::Arc;

#[test]
fn a_command_with_a_closed_output_pipe_exits_with_its_usual_code_and_no_error() {
    let coordinator = FakeCoordinator::start(Arc::new(|path, _| {
        Some(match path {
            "/v1/status" => (200, STATUS.to_string()),
            "/v1/book" => (200, STATE.to_string()),
            "/v1/order" => (200, "\"done\"".to_string()),
            _ => (404, NO_LEADER.to_string()),
        })
    }));
    let address = coordinator.address.to_string();
    for format in ["json", "text"] {
        for arguments in [
            &["status"][..],
            &["members"],
            &["resources"],
            &["resources", "list"],
            &["revoke", "list"],
        ] {
            let (reader, writer) = std::io::pipe().expect("a pipe");
            // the reader is closed before the first byte
            drop(reader);
            let output = Command::new(PROGRAM)
                .arg("fleet")
                .args(arguments)
                .args([
                    "--format",
                    format,
                    "--group",
                    "north",
                    "--coordinator",
                    &address,
                ])
                .stdout(writer)
                .stderr(Stdio::piped())
                .output()
                .expect("the process starts");
            let stderr = String::from_utf8_lossy(&output.stderr);
            assert_eq!(
                (output.status.code(), stderr.as_ref()),
                (Some(0), ""),
                "{arguments:?} {format}"
            );
        }
    }
}

#[test]
fn a_command_that_can_not_write_its_output_fails_with_a_message() {
    let coordinator = FakeCoordinator::start(Arc::new(|_, _| Some((200, STATE.to_string()))));
    let full = std::fs::File::options()
        .write(true)
        .open("/dev/full")
        .expect("a full device");
    let output = Command::new(PROGRAM)
        .args([
            "fleet",
            "work",
            "--format",
            "json",
            "--group",
            "north",
            "--coordinator",
        ])
        .arg(coordinator.address.to_string())
        .stdout(full)
        .stderr(Stdio::piped())
        .output()
        .expect("the process starts");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && stderr.contains("standard output"),
        "{stderr}"
    );
}
