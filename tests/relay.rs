//! Relays between members and stewards, as processes with faults between them: one that is stopped, cut off one way,
//! late, doubled or gone does no harm.

use milletturn_fleet_wire::words::RelayStatus;
use milletturn_trials::history::{acted, acts, acts_above, check, highest, joined, joins};
use milletturn_trials::process::until;
use milletturn_trials::{Group, Process, Reach, RelayProcess, Way};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

const PROGRAM: &str = env!("CARGO_BIN_EXE_milletturn");

/// An owner behind a relay of its own, another member behind another one, and the first one's way.
fn owner_and_next() -> (Group, RelayProcess, RelayProcess, Reach, Process, Process) {
    let mut group = Group::start(PROGRAM, 3);
    let (mine, others) = (group.relay("r1"), group.relay("r2"));
    let (way_a, way_b) = (group.way_through(&[&mine]), group.way_through(&[&others]));
    let a = group.hold_through(&way_a, "w", "a");
    a.until_said(3, acted);
    let b = group.hold_through(&way_b, "w", "b");
    b.until_said(1, joined);
    (group, mine, others, way_a, a, b)
}

#[test]
fn the_owner_behind_a_stopped_relay_stops_by_itself_and_what_the_relay_held_is_worth_nothing() {
    let (group, mine, _others, _way, a, b) = owner_and_next();
    let (term, before) = (highest(&a), joins(&a));
    mine.process.stop();
    until("the other one acts", || acts_above(&b, term) >= 3);
    mine.process.go_on();
    until("it has joined anew", || joins(&a) > before);
    check(&group, &[&a, &b]);
}

#[test]
fn an_owner_whose_relay_hears_it_but_is_not_heard_loses_its_work() {
    let mut group = Group::start(PROGRAM, 3);
    let relay = group.relay("r1");
    let (way_a, way_b) = (group.way_through(&[&relay]), group.way_through(&[&relay]));
    let a = group.hold_through(&way_a, "w", "a");
    a.until_said(3, acted);
    let b = group.hold_through(&way_b, "w", "b");
    b.until_said(1, joined);
    // its renewals arrive at the relay and at the stewards, and no answer comes back
    way_a.links[0].set_each(Way::Pass, Way::Hold);
    let (term, before) = (highest(&a), joins(&a));
    until("the other one acts", || acts_above(&b, term) >= 3);
    way_a.links[0].set(Way::Pass);
    until("it has joined anew", || joins(&a) > before);
    check(&group, &[&a, &b]);
}

#[test]
fn members_go_on_under_their_terms_when_their_relay_is_cut_off_doubled_or_killed() {
    // a lease that a slow machine does not cost
    let mut group = Group::start_with(PROGRAM, 3, "12s");
    let relays = [group.relay("r1"), group.relay("r2")];
    let way = group.way_through(&[&relays[0], &relays[1]]);
    let a = group.hold_through(&way, "w", "a");
    a.until_said(3, acted);
    let term = highest(&a);
    let goes_on = |what: &str, relays: &[&RelayProcess]| {
        let done = acts(&a).len();
        let renewed = relays.iter().map(|relay| held(relay.address())).sum::<u64>();
        until(what, || {
            let now = relays.iter().map(|relay| held(relay.address())).sum::<u64>();
            acts(&a).len() >= done + 3 && now > renewed
        });
        assert_eq!(highest(&a), term, "{what}: under the same term");
    };
    for (place, relay) in relays.iter().enumerate() {
        // it is reached, and reaches no steward
        relay.stewards.links.iter().for_each(|link| link.cut());
        goes_on("its relay is cut off from the stewards", &[&relays[1 - place]]);
        relay.stewards.links.iter().for_each(|link| link.set(Way::Pass));
    }
    let twins = [group.relay("r1"), group.relay("r1")];
    way.links.iter().zip(&twins).for_each(|(link, twin)| link.lead_to(twin.address()));
    drop(relays);
    goes_on("the relays that it knew are killed, and two others have one name", &[&twins[0], &twins[1]]);
    check(&group, &[&a]);
}

/// Batches that the stewards have answered at this relay.
fn held(address: SocketAddr) -> u64 {
    let answer = answer_to(address, &call("GET", "/v1/relay", "trial", "1", ""));
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    let status: RelayStatus = serde_json::from_str(body).expect("a relay's figures");
    status.batches.saturating_sub(status.unanswered + u64::from(status.waiting > 0))
}

#[test]
fn answers_that_come_late_to_a_relay_hold_nothing() {
    let (group, mine, _others, _way, a, b) = owner_and_next();
    let (term, before) = (highest(&a), joins(&a));
    // batches reach the stewards, and their answers hang on the way back until others own
    mine.stewards.links.iter().for_each(|link| link.set_each(Way::Pass, Way::Hold));
    until("the other one acts", || acts_above(&b, term) >= 3);
    mine.stewards.links.iter().for_each(|link| link.set(Way::Pass));
    until("it has joined anew", || joins(&a) > before);
    check(&group, &[&a, &b]);
}

/// Sends bytes, and returns what is answered until the other side closes.
fn answer_to(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    // a refusal may come before all is written
    let _ = stream.write_all(bytes);
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn call(method: &str, path: &str, group: &str, version: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nmilletturn-group: {group}\r\nmilletturn-wire: {version}\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

#[test]
fn what_a_relay_can_not_take_is_refused_by_name_and_harms_nobody() {
    let mut group = Group::start(PROGRAM, 3);
    let relay = group.relay("r1");
    let way = group.way_through(&[&relay]);
    let a = group.hold_through(&way, "w", "a");
    a.until_said(3, acted);
    let renewal = "{\"session\":1,\"run_out\":false}";
    let long = format!("{{\"session\":1,\"run_out\":false,\"more\":\"{}\"}}", "x".repeat(100_000));
    for (bytes, status, says) in [
        (call("POST", "/v1/renew", "other", "1", renewal), "409", "the call is for another one"),
        (call("POST", "/v1/renew", "trial", "2", renewal), "409", "version 1 of the wire"),
        (call("POST", "/v1/renew", "trial", "1", "{\"session\":"), "400", "EOF"),
        (call("POST", "/v1/renew", "trial", "1", &long), "413", "longer than 16384 bytes"),
        (call("POST", "/v1/renew-all", "trial", "1", "{\"renewals\":[]}"), "404", "ask a steward"),
        (call("GET", "/v1/renew", "trial", "1", ""), "405", "another method"),
        (
            call("POST", "/v1/order", "trial", "1", "{\"expire\":{\"session\":1,\"reign\":1}}"),
            "403",
            "only the leading steward",
        ),
        (b"\0\xff no protocol at all\r\n\r\n".to_vec(), "400", ""),
    ] {
        let answer = answer_to(relay.address(), &bytes);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")) && answer.contains(says), "{answer}");
    }
    // a call that is cut
    let cut = call("POST", "/v1/renew", "trial", "1", renewal);
    let mut stream = TcpStream::connect(relay.address()).expect("connected");
    stream.write_all(&cut[..cut.len() - 5]).expect("written");
    stream.shutdown(Shutdown::Write).expect("open");
    let mut answer = String::new();
    // it may be refused by name or dropped
    let _ = stream.read_to_string(&mut answer);
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400"), "{answer}");
    // a session that nobody has
    let none = call("POST", "/v1/renew", "trial", "1", "{\"session\":99,\"run_out\":false}");
    assert!(answer_to(relay.address(), &none).contains("no_session"));
    let (term, done) = (highest(&a), acts(&a).len());
    until("the member acts on", || acts(&a).len() >= done + 3);
    assert_eq!(highest(&a), term);
    check(&group, &[&a]);
}

#[test]
fn a_relay_with_more_places_than_descriptors_does_not_start() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("relay.toml");
    let text =
        "group = \"g\"\nname = \"r\"\nlisten = \"127.0.0.1:0\"\nstewards = [\"127.0.0.1:1\"]\nplaces = 300\n";
    std::fs::write(&file, text).expect("written");
    let check = |most: u32| {
        let line = format!("ulimit -n {most} && exec \"$0\" relay --check --config \"$1\"");
        let mut command = std::process::Command::new("sh");
        let output = command.args(["-c", &line, PROGRAM]).arg(&file).output().expect("it starts");
        (output.status.success(), String::from_utf8_lossy(&output.stderr).into_owned())
    };
    let (sound, said) = check(200);
    assert!(
        !sound && said.contains("MT083") && said.contains("364 descriptors in all, 200 are allowed"),
        "{said}"
    );
    assert_eq!(check(400), (true, String::new()));
}
