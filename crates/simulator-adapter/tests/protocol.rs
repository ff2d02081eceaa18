//! Tests of the simulator's text protocol: malformed input, restarts of an instance, and the independence of
//! instances.

use milletturn_simulator_adapter::protocol::Host;
use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "az=a balancers=2 caps.maxOpen=50 caps.mostTries=6 caps.mayCancel=true \
    caps.secondCopies=true classes.count=2 classes.0.aim=2.0 classes.0.deadline=10.0 \
    classes.0.effect=idempotent classes.0.name=notice classes.1.aim=2.0 classes.1.deadline=10.0 \
    classes.1.effect=deduplicated classes.1.group=zone classes.1.window=5.0 classes.1.name=order \
    machineTypes=big specifics.callSlots=12 specifics.bundleMax=1 specifics.routesApart=false \
    safety.cold=10.0 safety.fall=2.0 safety.fallMultiple=2.0 safety.startCapacity=0.2 \
    safety.stopSendingWithin=1.0 zones=a,b colour=red";

fn start_lines(id: u32) -> String {
    format!(
        "begin sender/{id} 77 {}\nmanifest 0 2\nrow e1 a big 5 SERVING 1 -\nrow e2 a big 5 SERVING 1 -\n\
         announce sender/{id} cached 0 1\n",
        SETTINGS.split_whitespace().collect::<Vec<_>>().join(" ")
    )
}

fn run(input: &str) -> String {
    let mut output = Vec::new();
    Host::new()
        .run(input.as_bytes(), &mut output)
        .expect("well-formed input");
    String::from_utf8(output).expect("UTF-8 text")
}

fn run_process(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_milletturn-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input.as_bytes())
        .expect("the adapter reads its input");
    child.wait_with_output().expect("the adapter exits")
}

#[test]
fn a_message_is_sent() {
    let input = format!(
        "batch 1.5\n{}eof_batch\n\nbatch 2\ndemand sender/3 m1 10.0 - - 0 5 - notice\neof_batch\n",
        start_lines(3)
    );
    let reply = run(&input);
    let issue = reply
        .lines()
        .find(|line| line.starts_with("issue "))
        .expect("the message is sent");
    let fields: Vec<&str> = issue.split(' ').collect();
    assert_eq!(fields[..3], ["issue", "sender/3", "m1"]);
    assert_eq!(reply.lines().filter(|line| *line == "ready").count(), 2);
}

#[test]
fn malformed_lines_stop_the_adapter_with_the_line_number() {
    let good = format!("batch 1\n{}", start_lines(3));
    let cases = [
        (
            "batch x\n".to_string(),
            "line 1: expected a time, found 'x'",
        ),
        (
            "hello\n".to_string(),
            "line 1: expected batch, found 'hello'",
        ),
        (
            format!("{good}gossip sender/3\n"),
            "line 7: expected a known event kind, found 'gossip'",
        ),
        (
            format!("{good}tick_due sender/9 wake\n"),
            "line 7: expected a running instance, found 'sender/9'",
        ),
        (
            format!("{good}announce sender/3 full 4 2\n"),
            "line 7: expected the number of an earlier list, found '4'",
        ),
        (
            format!("{good}demand sender/3 m1 soon - - 0 5 - notice\n"),
            "line 7: expected time left, found 'soon'",
        ),
        (
            format!("{good}demand sender/3 m1\n"),
            "line 7: expected time left, found 'end of line'",
        ),
        (
            format!("{good}outcome sender/3 m1 0 e1 lost 0.1 0 - -\n"),
            "line 7: expected an outcome, found 'lost'",
        ),
        (
            format!("{good}manifest 1 1\nline\n"),
            "line 8: expected a row, found 'line'",
        ),
        (
            format!("{good}heard sender/3 1 ab*=\n"),
            "line 7: expected base64, found 'ab*='",
        ),
        (
            good.clone(),
            "line 7: expected eof_batch, found 'end of input'",
        ),
    ];
    for (input, expected) in cases {
        let output = run_process(&input);
        assert_eq!(output.status.code(), Some(2), "{input}");
        assert!(output.stdout.is_empty());
        let error = String::from_utf8(output.stderr).expect("UTF-8 text");
        assert_eq!(error, format!("milletturn-simulator-adapter: {expected}\n"));
    }
}

#[test]
fn input_that_ends_between_batches_is_a_normal_end() {
    for input in [
        String::new(),
        "batch 1\neof_batch\n".into(),
        format!("batch 1\n{}eof_batch\n\n", start_lines(0)),
    ] {
        let output = run_process(&input);
        assert_eq!(output.status.code(), Some(0));
        assert!(output.stderr.is_empty());
    }
}

#[test]
fn errors_name_the_invalid_setting() {
    for (from, to, named) in [
        ("safety.fall=2.0", "safety.fall=-2", "safety.fall is '-2'"),
        ("safety.fall=2.0", "", "safety.fall is missing"),
        (
            "caps.maxOpen=50",
            "caps.maxOpen=NaN",
            "caps.maxOpen is 'NaN'",
        ),
        (
            "effect=idempotent",
            "effect=magic",
            "classes.0.effect is 'magic'",
        ),
        (
            "classes.1.name=order",
            "classes.1.name=notice",
            "classes.notice.name is not unique",
        ),
        (
            "specifics.callSlots=12",
            "specifics.callSlots=0",
            "call_slots must be above zero",
        ),
    ] {
        let output = run_process(&format!(
            "batch 1\n{}eof_batch\n",
            start_lines(3).replace(from, to)
        ));
        assert_eq!(output.status.code(), Some(2), "{to}");
        let error = String::from_utf8(output.stderr).expect("UTF-8 text");
        assert!(error.contains("line 2") && error.contains(named), "{error}");
    }
}

#[test]
fn an_instance_restarted_in_the_batch_of_its_crash_has_no_earlier_messages() {
    let input = format!(
        "batch 1\n{}demand sender/3 m1 10.0 - - 0 5 - notice\neof_batch\n\
         batch 2\ndemand sender/3 m2 10.0 - - 0 5 - notice\ncrash_now sender/3\n{}\
         demand sender/3 m3 10.0 - - 0 5 - notice\neof_batch\n\
         batch 9\ntick_due sender/3 wake\neof_batch\nbatch 10\ncrash_now sender/3\neof_batch\n",
        start_lines(3),
        start_lines(3)
    );
    let reply = run(&input);
    let turns: Vec<&str> = reply.split("ready\n").collect();
    assert!(turns[0].contains("issue sender/3 m1"));
    assert!(
        turns[1].contains("issue sender/3 m3")
            && !turns[1].contains("m1")
            && !turns[1].contains("m2")
    );
    assert!(!turns[2].contains("m1") && !turns[2].contains("m2"));
    assert_eq!(turns[3], "", "a crashed instance sends no actions");
}

#[test]
fn a_list_with_a_reused_number_replaces_the_earlier_list() {
    let input = format!(
        "batch 1\n{}manifest 0 1\nrow e9 a big 5 SERVING 1 -\nannounce sender/3 full 0 2\n\
         demand sender/3 m1 10.0 - - 0 5 - notice\neof_batch\n",
        start_lines(3)
    );
    assert!(run(&input).contains(" e9\n"));
}

fn traffic(ids: &[u32]) -> String {
    let mut text = String::from("batch 1\n");
    for id in ids {
        text.push_str(&start_lines(*id));
    }
    text.push_str("eof_batch\n");
    for n in 0..40 {
        text.push_str(&format!("batch {}.{:02}\n", 2 + n / 10, n % 10 * 10));
        for id in ids {
            let class = if n % 2 == 0 { "notice" } else { "order" };
            text.push_str(&format!("demand sender/{id} m{n} 9.0 - - 0 5 - {class}\n"));
            text.push_str(&format!("tick_due sender/{id} wake\n"));
        }
        text.push_str("eof_batch\n");
    }
    text
}

fn lines_of(reply: &str, id: u32) -> Vec<String> {
    let own = format!(" sender/{id}");
    reply
        .lines()
        .filter(|line| format!("{line} ").contains(&format!("{own} ")))
        .map(str::to_string)
        .collect()
}

#[test]
fn an_instance_acts_the_same_alone_and_beside_another() {
    let together = run(&traffic(&[1, 2]));
    assert_eq!(together, run(&traffic(&[1, 2])));
    for id in [1, 2] {
        let apart = lines_of(&run(&traffic(&[id])), id);
        assert!(apart.len() > 10, "{} lines", apart.len());
        assert_eq!(lines_of(&together, id), apart);
    }
}
