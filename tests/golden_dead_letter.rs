//! Compares the output of `milletturn undelivered` with that of an earlier build in `tests/golden/dead_letter.txt`,
//! command by command: tables, JSON lines, messages, exit codes and the requests to a running sender. The commands read
//! the golden store of the dead-letter package. Ages of 10000 to 99999 days are replaced by `#####d`, and filter times
//! that are relative to now by `NOW-AGE`.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write as _};
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::process::Command;
use std::sync::{Arc, Mutex};

const STORE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/crates/dead-letter/tests/golden/store.db"
);
const COMMANDS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/dead_letter.txt");

/// The response of a fake sender to a request.
fn response_to(request: &str) -> &'static str {
    match request {
        list if list.contains(r#""limit":13"#) => {
            "{\"error\":\"the store can't be used; see the log\"}\n"
        }
        list if list.contains(r#""do":"list""#) => concat!(
            r#"{"summary":{"number":12,"id":"m-12","key":"key-12","class":"licence","destination":0,"state":"out","reason":"time-up","ending":"failed","taken_at":1000000000012,"ended_at":1000001000012,"deadline":1000020000000,"resends":3,"first_risk":1000000040000,"stated":false,"body_bytes":11}}"#,
            "\n",
            r#"{"end":{"count":1,"declined":0}}"#,
            "\n"
        ),
        stats if stats.contains(r#""do":"stats""#) => concat!(
            r#"{"stats":{"by_state":[5,4,3,2,1],"bytes":60000000,"bytes_most":64000000,"count_most":1000,"oldest_kept":1000000000001,"over_age":2,"full":true}}"#,
            "\n",
            r#"{"end":{"count":0,"declined":0}}"#,
            "\n"
        ),
        change if change.contains(r#""do":"resend""#) || change.contains(r#""do":"settle""#) => {
            concat!(
                r#"{"done":{"number":1,"until":5000000000000000,"declined":null}}"#,
                "\n",
                r#"{"done":{"number":22,"until":null,"declined":null}}"#,
                "\n",
                r#"{"done":{"number":333,"until":null,"declined":"there is no such message"}}"#,
                "\n",
                r#"{"end":{"count":3,"declined":1}}"#,
                "\n"
            )
        }
        _ => concat!(r#"{"end":{"count":0,"declined":0}}"#, "\n"),
    }
}

/// Starts a fake sender on the command socket of a folder; returns the list in which it records the requests.
fn start_fake_sender(folder: &Path) -> Arc<Mutex<Vec<String>>> {
    let requests = Arc::new(Mutex::new(Vec::new()));
    let received = requests.clone();
    let listener = UnixListener::bind(folder.join("undelivered.sock")).expect("a socket");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("accepted");
            let mut request = String::new();
            BufReader::new(&stream)
                .read_line(&mut request)
                .expect("a request");
            let response = response_to(&request);
            received.lock().expect("not poisoned").push(request);
            stream.write_all(response.as_bytes()).expect("answered");
        }
    });
    requests
}

/// Replaces ages of 10000 to 99999 days, and filter times that are relative to now.
fn without_clock(text: &str) -> String {
    let mut out = String::new();
    let mut remaining = text;
    while let Some(at) = remaining.find(|c: char| c.is_ascii_digit()) {
        let end = remaining[at..]
            .find(|c: char| !c.is_ascii_digit())
            .map_or(remaining.len(), |length| at + length);
        let is_relative_time = ["\"before\":", "\"since\":"]
            .iter()
            .any(|key| remaining[..at].ends_with(key));
        let is_age_in_days = end - at == 5 && remaining[end..].starts_with('d');
        out.push_str(&remaining[..at]);
        match () {
            () if is_age_in_days => out.push_str("#####"),
            () if is_relative_time => out.push_str("NOW-AGE"),
            () => out.push_str(&remaining[at..end]),
        }
        remaining = &remaining[end..];
    }
    out + remaining
}

/// Runs `milletturn undelivered` with these arguments; see [`run_command`].
fn run(folder: &Path, arguments: &str, requests: Option<&Arc<Mutex<Vec<String>>>>) -> String {
    run_command(folder, &format!("undelivered {arguments}"), requests)
}

/// Runs a command on a state folder. Returns the requests that the fake sender got, standard output, standard error and the
/// exit code as one text.
fn run_command(
    folder: &Path,
    arguments: &str,
    requests: Option<&Arc<Mutex<Vec<String>>>>,
) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_milletturn"))
        .args(arguments.split_whitespace())
        .env("RELAY_STATE", folder)
        .env("USER", "ann")
        .env_remove("MILLETTURN_UNDELIVERED")
        .output()
        .expect("the command runs");
    let mut text = String::new();
    for request in requests
        .into_iter()
        .flat_map(|requests| std::mem::take(&mut *requests.lock().expect("not poisoned")))
    {
        write!(text, "asked: {request}").expect("text");
    }
    text.push_str(&String::from_utf8(output.stdout).expect("text"));
    text.push_str(&String::from_utf8(output.stderr).expect("text"));
    writeln!(
        text,
        "exit {}",
        output.status.code().expect("no signal ended the command")
    )
    .expect("text");
    without_clock(&text.replace(&folder.display().to_string(), "FOLDER"))
}

#[test]
fn output_and_requests_of_commands_match_the_golden_file() {
    let folder = tempfile::tempdir().expect("the folder is created");
    let (stopped, running) = (folder.path().join("stopped"), folder.path().join("running"));
    std::fs::create_dir(&stopped).expect("the folder is created");
    std::fs::create_dir(&running).expect("the folder is created");
    std::fs::copy(STORE, stopped.join("undelivered.db")).expect("copied");
    let requests = start_fake_sender(&running);
    let expected = std::fs::read_to_string(COMMANDS).expect("a golden file");
    let (mut actual, mut commands) = (String::new(), 0);
    for line in expected.lines() {
        let output = match line.split_once("$ ") {
            Some(("stopped", arguments)) => run(&stopped, arguments, None),
            Some(("running", arguments)) => run(&running, arguments, Some(&requests)),
            _ => continue,
        };
        writeln!(actual, "{line}\n{output}").expect("text");
        commands += 1;
    }
    assert_eq!(commands, 33);
    for (number, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(actual, expected, "line {}", number + 1);
    }
    assert_eq!(actual, expected);
}

#[test]
fn commands_behave_the_same_under_their_old_and_new_names() {
    let folder = tempfile::tempdir().expect("the folder is created");
    let requests = start_fake_sender(folder.path());
    for (old, new) in [
        ("undelivered resend --all", "dead-letter redrive --all"),
        (
            "undelivered settle --as done 7",
            "dead-letter resolve --as done 7",
        ),
        ("undelivered stats", "dead-letter stats"),
    ] {
        let expected = run_command(folder.path(), old, Some(&requests));
        assert!(expected.starts_with("asked: "), "{expected}");
        assert_eq!(run_command(folder.path(), new, Some(&requests)), expected);
    }
}
