//! Case 9: `milletturn fleet hold` owns a resource for an operator while two of three coordinators are
//! gone for some seconds. What the previous owner left for the next one is to be there still.

mod parts;

use parts::*;
use std::net::SocketAddr;
use std::time::Duration;

const GROUP: &str = "harbour";
const RESOURCE: &str = "limits-of-7";
const CHECKPOINT: &str = "divided up to sender 41 of 60";

/// Sends a call to one coordinator after the other until one answers it; returns the body.
fn ask(coordinators: &[SocketAddr], path: &str, body: &str) -> String {
    let mut found = None;
    require("a coordinator's answer", || {
        found = coordinators.iter().find_map(|address| {
            let method = if body.is_empty() { "GET" } else { "POST" };
            let head = format!(
                "{method} {path} HTTP/1.1\r\nHost: {address}\r\nmilletturn-group: {GROUP}\r\nmilletturn-wire: 1\r\n\
                 milletturn-call: 1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let answer = call(*address, &head, body.as_bytes(), Duration::from_secs(3))?;
            (answer.status() == 200).then(|| String::from_utf8_lossy(&answer.body).to_string())
        });
        found.is_some()
    });
    let answer = found.unwrap();
    record(format!("member: {path} {body} -> {answer}"));
    answer
}

/// Opens a session and claims the resource; returns the session and the answer to the claim.
fn claim(coordinators: &[SocketAddr], name: &str, nonce: u64) -> (u64, String) {
    let about = format!(r#"{{"name":"{name}","zone":"","version":"1","serves":"sender"}}"#);
    let open = format!(r#"{{"about":{about},"nonce":{nonce}}}"#);
    let opened = ask(coordinators, "/v1/open", &open);
    let session = number_field(&opened, "session").unwrap_or_else(|| cannot_run("no session"));
    let claim = format!(r#"{{"claim":{{"session":{session},"work":"{RESOURCE}"}}}}"#);
    let mut owned = String::new();
    require("the resource is free", || {
        owned = ask(coordinators, "/v1/order", &claim);
        owned.contains("\"owned\"")
    });
    (session, owned)
}

fn close(coordinators: &[SocketAddr], session: u64) {
    ask(coordinators, "/v1/order", &format!(r#"{{"close":{{"session":{session}}}}}"#));
}

fn main() {
    let case = begin();
    let coordinators: Vec<SocketAddr> = (0..3)
        .map(|_| SocketAddr::from(([127, 0, 0, 1], free_port())))
        .collect();
    let tables: String = coordinators
        .iter()
        .enumerate()
        .map(|(at, address)| format!("[[steward]]\nid = {}\naddress = \"{address}\"\n", at + 1))
        .collect();
    let file = |at: usize| case.folder.join(format!("steward{}.toml", at + 1));
    for (at, address) in coordinators.iter().enumerate() {
        let text = format!(
            "group = \"{GROUP}\"\nid = {id}\nlisten = \"{address}\"\nstate = \"steward{id}\"\n{tables}",
            id = at + 1
        );
        std::fs::write(file(at), text).expect("the settings");
        let path = file(at).display().to_string();
        if run_command(&case, &["coordinator", "--config", &path, "--found"], &[]).0 != 0 {
            cannot_run("a coordinator's disk was not made");
        }
    }
    let start = |at: usize| {
        let command = format!(
            "exec target/release/milletturn coordinator --config '{}'",
            file(at).display()
        );
        Process::start(&case, &format!("coordinator {}", at + 1), &command, &[])
    };
    let mut processes: Vec<Process> = (0..3).map(start).collect();

    // an owner leaves a checkpoint for the next one, and ends
    let (session, owned) = claim(&coordinators, "amina", 11);
    let term = number_field(&owned, "term").unwrap_or_else(|| cannot_run("no term"));
    let act = format!(
        r#"{{"act":{{"session":{session},"work":"{RESOURCE}","term":{term},"number":1,"cursor":"{CHECKPOINT}"}}}}"#
    );
    if !ask(&coordinators, "/v1/order", &act).contains("done") {
        cannot_run("the checkpoint was not written");
    }
    close(&coordinators, session);

    // an operator holds the resource
    let addresses: String = coordinators
        .iter()
        .map(|address| format!(" --coordinator {address}"))
        .collect();
    let command = format!(
        "exec target/release/milletturn fleet hold {RESOURCE} --name operator --group {GROUP}{addresses} --format json"
    );
    let mut hold = Process::start(&case, "hold", &command, &[]);
    require("the operator's command writes", || hold.log_count("\"acted\"") >= 2);
    if case.trouble {
        // the leader and one other coordinator are gone, and come back on their disks
        let status = ask(&coordinators, "/v1/status", "");
        let leader = number_field(&status, "leader").unwrap_or(1) as usize - 1;
        let gone = [leader, (leader + 1) % 3];
        for at in gone {
            processes[at].kill();
        }
        sleep_ms(12_000);
        for at in gone {
            processes[at] = start(at);
        }
    }
    let before = hold.log_count("\"acted\"");
    require("the operator's command writes again", || {
        hold.log_count("\"acted\"") >= before + 3
    });
    hold.signal("TERM");
    hold.wait();

    let (session, owned) = claim(&coordinators, "baraka", 12);
    let found = text_field(&owned, "cursor");
    close(&coordinators, session);
    for process in &processes {
        process.signal("TERM");
    }
    finish((found != CHECKPOINT).then(|| {
        format!("the next owner finds {found:?}, and the previous one had left {CHECKPOINT:?}")
    }));
}
