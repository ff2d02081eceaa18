//! Case 8: a sender with a store of dead letters is restarted without the store, and then with it again. Messages that end
//! undelivered in the last process are to be kept.

mod parts;

use parts::*;
use std::sync::atomic::Ordering;

const MESSAGES: usize = 5;

fn main() {
    let case = begin();
    // the connection of each call ends with no answer, or, while the endpoint hangs, stays open with none
    let hangs = flag(false);
    let is_hung = hangs.clone();
    let endpoint = Endpoint::start(move |call| {
        let id = call.header("x-request-id");
        if is_hung.load(Ordering::SeqCst) {
            record(format!("endpoint: {id} gets no answer, the endpoint hangs"));
            return reply("200 OK", 15_000);
        }
        record(format!("endpoint: {id} gets no answer, its connection ends"));
        reply("", 5)
    });
    // the destination beside it is well, and gets four of five messages
    let well = Endpoint::start(|_| reply("200 OK", 5));
    let targets = [
        target("s-1", endpoint.address, "one", 7),
        target("s-2", well.address, "one", 8),
    ];
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
    let submit_to = |sender: &Sender, destination: u64, id: &str| {
        let submission = Submission {
            class: "order",
            id,
            key: None,
            destination,
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
    let submit = |sender: &Sender, id: &str| submit_to(sender, 7, id);
    let submit_well = |sender: &Sender, life: &str| {
        (0..4 * MESSAGES).for_each(|number| submit_to(sender, 8, &format!("{life}{number}")));
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
    submit_well(&sender, "v");
    require("the first messages fail", || {
        (0..MESSAGES).all(|number| has_notice(format!("a{number}")))
    });
    for number in 0..MESSAGES {
        require("the first messages are kept", || kept(&format!("a{number}")));
    }

    // the second process has no store; its messages hang, and stay open
    hangs.store(true, Ordering::SeqCst);
    if case.trouble {
        record("restart without the store");
        sender.variables = without_store;
    }
    restart(&sender, &mut process);
    // not judged, to the destination that is well: as number 0 it would be stored and never listed, which KNOWN-RED.txt has already
    submit_to(&sender, 8, "first");
    for number in 0..MESSAGES {
        submit(&sender, &format!("b{number}"));
    }

    submit_well(&sender, "w");

    // the third process has the store again; there the messages fail, since they may have run
    record("restart with the store");
    sender.variables = with_store.clone();
    restart(&sender, &mut process);
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
