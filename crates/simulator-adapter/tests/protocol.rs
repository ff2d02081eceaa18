//! The wire: bad input, restarts, instances together and apart.

use milletturn_simulator_adapter::protocol::Host;
use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = "az=a balancers=2 caps.maxOpen=50 caps.mostTries=6 caps.mayCancel=true \
    caps.secondCopies=true classes.count=2 classes.0.aim=2.0 classes.0.deadline=10.0 \
    classes.0.effect=idempotent classes.0.name=notice classes.1.aim=2.0 classes.1.deadline=10.0 \
    classes.1.effect=deduplicated classes.1.group=zone classes.1.window=5.0 classes.1.name=order \
    machineTypes=big specifics.callSlots=12 specifics.bundleMax=1 specifics.routesApart=false \
    safety.cold=10.0 safety.fall=2.0 safety.fallMultiple=2.0 safety.startCapacity=0.2 \
    safety.stopSendingWithin=1.0 zones=a,b colour=red";

fn start(id: u32) -> String {
    format!(
        "begin sender/{id} 77 {}\nmanifest 0 2\nrow e1 a big 5 SERVING 1 -\nrow e2 a big 5 SERVING 1 -\n\
         announce sender/{id} cached 0 1\n",
        SETUP.split_whitespace().collect::<Vec<_>>().join(" ")
    )
}

fn play(input: &str) -> String {
    let mut output = Vec::new();
    Host::new()
        .run(input.as_bytes(), &mut output)
        .expect("well formed");
    String::from_utf8(output).expect("text")
}

fn drill(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_milletturn-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("piped")
        .write_all(input.as_bytes())
        .expect("written");
    child.wait_with_output().expect("it ends")
}

#[test]
fn a_message_goes_out_and_ends() {
    let input = format!(
        "batch 1.5\n{}eof_batch\n\nbatch 2\ndemand sender/3 m1 10.0 - - 0 5 - notice\neof_batch\n",
        start(3)
    );
    let reply = play(&input);
    let issue = reply
        .lines()
        .find(|line| line.starts_with("issue "))
        .expect("sent");
    let fields: Vec<&str> = issue.split(' ').collect();
    assert_eq!(fields[..3], ["issue", "sender/3", "m1"]);
    assert_eq!(reply.lines().filter(|line| *line == "ready").count(), 2);
}

#[test]
fn malformed_lines_stop_the_adapter_with_the_line_number() {
    let good = format!("batch 1\n{}", start(3));
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
            "line 7: expected a known message, found 'gossip'",
        ),
        (
            format!("{good}tick_due sender/9 wake\n"),
            "line 7: expected a running instance, found 'sender/9'",
        ),
        (
            format!("{good}announce sender/3 full 4 2\n"),
            "line 7: expected a list sent before, found '4'",
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
        let output = drill(&input);
        assert_eq!(output.status.code(), Some(2), "{input}");
        assert!(output.stdout.is_empty());
        let error = String::from_utf8(output.stderr).expect("text");
        assert_eq!(error, format!("milletturn-simulator-adapter: {expected}\n"));
    }
}

#[test]
fn input_that_ends_between_batches_is_a_normal_end() {
    for input in [
        String::new(),
        "batch 1\neof_batch\n".into(),
        format!("batch 1\n{}eof_batch\n\n", start(0)),
    ] {
        let output = drill(&input);
        assert_eq!(output.status.code(), Some(0));
        assert!(output.stderr.is_empty());
    }
}

#[test]
fn senseless_settings_are_named() {
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
            "classes.notice.name stands twice",
        ),
        (
            "specifics.callSlots=12",
            "specifics.callSlots=0",
            "call_slots must be above zero",
        ),
    ] {
        let output = drill(&format!(
            "batch 1\n{}eof_batch\n",
            start(3).replace(from, to)
        ));
        assert_eq!(output.status.code(), Some(2), "{to}");
        let error = String::from_utf8(output.stderr).expect("text");
        assert!(error.contains("line 2") && error.contains(named), "{error}");
    }
}

#[test]
fn a_restart_in_the_batch_of_a_stop_forgets_the_old_life() {
    let input = format!(
        "batch 1\n{}demand sender/3 m1 10.0 - - 0 5 - notice\neof_batch\n\
         batch 2\ndemand sender/3 m2 10.0 - - 0 5 - notice\ncrash_now sender/3\n{}\
         demand sender/3 m3 10.0 - - 0 5 - notice\neof_batch\n\
         batch 9\ntick_due sender/3 wake\neof_batch\nbatch 10\ncrash_now sender/3\neof_batch\n",
        start(3),
        start(3)
    );
    let reply = play(&input);
    let turns: Vec<&str> = reply.split("ready\n").collect();
    assert!(turns[0].contains("issue sender/3 m1"));
    assert!(
        turns[1].contains("issue sender/3 m3")
            && !turns[1].contains("m1")
            && !turns[1].contains("m2")
    );
    assert!(!turns[2].contains("m1") && !turns[2].contains("m2"));
    assert_eq!(turns[3], "", "a stopped instance is silent");
}

#[test]
fn a_reused_list_number_is_read_in_order() {
    let input = format!(
        "batch 1\n{}manifest 0 1\nrow e9 a big 5 SERVING 1 -\nannounce sender/3 full 0 2\n\
         demand sender/3 m1 10.0 - - 0 5 - notice\neof_batch\n",
        start(3)
    );
    assert!(play(&input).contains(" e9\n"));
}

fn traffic(ids: &[u32]) -> String {
    let mut text = String::from("batch 1\n");
    for id in ids {
        text.push_str(&start(*id));
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
fn the_same_events_give_the_same_actions_together_and_apart() {
    let together = play(&traffic(&[1, 2]));
    assert_eq!(together, play(&traffic(&[1, 2])));
    for id in [1, 2] {
        let apart = lines_of(&play(&traffic(&[id])), id);
        assert!(apart.len() > 10, "{} lines", apart.len());
        assert_eq!(lines_of(&together, id), apart);
    }
}
