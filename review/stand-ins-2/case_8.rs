//! Case 8: a sender with a store of dead letters is restarted without the store, and then with it again. Messages that end
//! undelivered in the last process are to be kept.

mod parts;

use parts::*;
use std::sync::atomic::Ordering;

const MESSAGES: usize = 5;

fn main() {
    let case = begin();
    // fails with 500, or tells to wait while it is shut
    let shut = flag(false);
    let is_shut = shut.clone();
    let endpoint = Endpoint::start(move |call| {
        let id = call.header("x-request-id");
        if is_shut.load(Ordering::SeqCst) {
            record(format!("endpoint: {id} answered 429, to wait 6 s"));
            let mut answer = reply("429 Too Many Requests", 5);
            answer.headers = "Retry-After: 6\r\n".to_string();
            return answer;
        }
        record(format!("endpoint: {id} answered 500"));
        reply("500 Internal Server Error", 5)
    });
    let targets = [target("s-1", endpoint.address, "one", 7)];
    let discovery = Discovery::start(&targets);
    let mut sender = Sender::new(
        &case,
        &Setup {
            discovery: discovery.address,
            known: &targets,
            classes: r#"{"name":"order","aim":4.0,"deadline":20.0,"effect":"at_most_once"}"#,
            disk_mb: 30.0,
            max_open: 50,
            call_slots: 8,
            store: Some("[store]\nmax_mb = 2\nkeep_returned = true\n"),
        },
    );
    let with_store = sender.variables.clone();
    let without_store = with_store[..2].to_vec();
    let submit = |sender: &Sender, id: &str| {
        let submission = Submission {
            class: "order",
            id,
            key: None,
            destination: 7,
            timeout_ms: 15_000,
            body: id.as_bytes(),
            subject: None,
        };
        let status = submission.submit(sender.address);
        record(format!("client: {id} answered {status}"));
        if status != 202 {
            cannot_run(&format!("{id} was not accepted"));
        }
    };
    let restart = |sender: &Sender, process: &mut Process| {
        process.signal("TERM");
        process.wait();
        sleep_ms(600);
        *process = sender.start(&case);
        require_ready(sender.address);
    };
    let has_notice = |id: String| !discovery.notices_of(&id).is_empty();
    let kept = |id: &str| {
        let command = ["dead-letter", "--format", "json", "list"];
        let listed = run_command(&case, &command, &with_store).1;
        listed.contains(&format!("\"id\":\"{id}\""))
    };

    // the first process has the store: its messages fail, and are kept
    let mut process = sender.start(&case);
    require_ready(sender.address);
    for number in 0..MESSAGES {
        submit(&sender, &format!("a{number}"));
    }
    require("the first messages fail", || {
        (0..MESSAGES).all(|number| has_notice(format!("a{number}")))
    });
    for number in 0..MESSAGES {
        require("the first messages are kept", || kept(&format!("a{number}")));
    }

    // the second process has no store; its messages have to wait, and stay open
    shut.store(true, Ordering::SeqCst);
    if case.trouble {
        record("restart without the store");
        sender.variables = without_store;
    }
    restart(&sender, &mut process);
    // not judged: as number 0 it would be stored and never listed, which KNOWN-RED.txt has already
    submit(&sender, "first");
    for number in 0..MESSAGES {
        submit(&sender, &format!("b{number}"));
    }

    // the third process has the store again; there the messages fail, or their time is up
    record("restart with the store");
    sender.variables = with_store.clone();
    restart(&sender, &mut process);
    shut.store(false, Ordering::SeqCst);
    let ended = wait_for(std::time::Duration::from_secs(40), || {
        (0..MESSAGES).all(|number| has_notice(format!("b{number}")))
    });
    if !ended {
        cannot_run("not all of the second messages have ended");
    }
    sleep_ms(5_000);
    let missing: Vec<String> = (0..MESSAGES)
        .map(|number| format!("b{number}"))
        .filter(|id| !kept(id))
        .collect();
    for number in 1..=2 * MESSAGES + 1 {
        let number = number.to_string();
        let show = ["dead-letter", "--format", "json", "show", &number];
        run_command(&case, &show, &with_store);
    }
    process.signal("TERM");
    process.wait();
    finish((!missing.is_empty()).then(|| {
        format!("not delivered and not kept, although the sender that ended them has the store: {missing:?}")
    }));
}
