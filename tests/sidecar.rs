//! Tests of the sidecar process: valid and rejected configurations, endpoints from a file, and final outcomes.

mod sidecar_process;

use sidecar_process::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

fn destinations(good: SocketAddr, bad: SocketAddr) -> String {
    format!(
        "[destination.good]\nid = 1\nendpoints = ['{good}']\n[destination.bad]\nid = 2\nendpoints = ['{bad}']\n"
    )
}

/// An endpoint that answers 200, and one that answers 500.
fn good_and_bad_endpoint() -> (FakeEndpoint, FakeEndpoint) {
    (
        FakeEndpoint::new(|_, _| OK),
        FakeEndpoint::new(|_, _| Reply::Respond("500 Oops", String::new())),
    )
}

#[test]
fn each_message_has_exactly_one_outcome_across_kills_and_reconnects() {
    let (good, bad) = good_and_bad_endpoint();
    let extra_settings = destinations(good.address, bad.address);
    let mut sidecar = Sidecar::new(&format!(
        "[limits]\nheld = 4000\ndisk = '60MB'\n{extra_settings}"
    ));
    let (mut cursor, mut submitted, mut outcome_counts) = (0, 0u32, BTreeMap::<String, u32>::new());
    let mut accepted = Vec::new();
    for round in 0..12u32 {
        let mut reader = sidecar.reader(cursor);
        let mut read = 0;
        for _ in 0..440 {
            submitted += 1;
            let (class, dest) = if submitted % 9 == 0 {
                ("order", 2)
            } else {
                ("notice", 1)
            };
            let id = format!("m{submitted}");
            if sidecar.submit(class, &id, dest) == 202 {
                accepted.push(id);
            }
            // the reader disconnects in the middle of the stream, and a new one continues from the last cursor read
            if submitted % (70 + round) == 0 {
                while let Ok(Some(outcome)) = reader.next() {
                    cursor = outcome["cursor"].as_u64().expect("a cursor");
                    *outcome_counts
                        .entry(outcome["id"].as_str().expect("an id").to_string())
                        .or_default() += 1;
                    read += 1;
                    if read % 25 == 0 {
                        reader = sidecar.reader(cursor);
                    }
                }
            }
        }
        drop(reader);
        if round < 11 {
            sidecar = sidecar.restart();
        }
    }
    let mut reader = sidecar.reader(cursor);
    wait_until("each accepted message has an outcome", || {
        while let Ok(Some(outcome)) = reader.next() {
            *outcome_counts
                .entry(outcome["id"].as_str().expect("an id").to_string())
                .or_default() += 1;
        }
        accepted.iter().all(|id| outcome_counts.contains_key(id))
    });
    assert!(accepted.len() > 5_000, "{}", accepted.len());
    let repeated: Vec<_> = outcome_counts
        .iter()
        .filter(|(_, count)| **count != 1)
        .collect();
    assert!(repeated.is_empty(), "{repeated:?}");
}

#[test]
fn a_message_is_found_by_its_id_until_its_outcome_is_acknowledged() {
    let (good, bad) = good_and_bad_endpoint();
    let sidecar = Sidecar::new(&destinations(good.address, bad.address));
    assert_eq!(sidecar.get("/v1/messages/none").0, 404);
    assert_eq!(sidecar.submit("notice", "m1", 1), 202);
    let mut text = String::new();
    wait_until("the message is delivered", || {
        text = sidecar.get("/v1/messages/m1").1;
        text.contains("delivered")
    });
    assert_eq!(sidecar.submit("order", "m2", 2), 202);
    wait_until("the message has failed", || {
        sidecar.get("/v1/messages/m2").1.contains("failed")
    });
    let (status, text) = sidecar.get("/v1/outcomes?from=99");
    assert_eq!((status, text.contains("never given")), (409, true));
    assert_eq!(sidecar.get("/v1/outcomes?from=x").0, 400);
    let mut reader = sidecar.reader(1);
    wait_until("the first outcome is acknowledged", || {
        sidecar.get("/v1/messages/m1").0 == 404
    });
    let mut found = None;
    wait_until("the second outcome is read", || {
        found = reader.next().expect("the stream is open");
        found.is_some()
    });
    assert_eq!(found.expect("read")["id"], "m2");
}

#[test]
fn a_message_that_gets_a_410_has_a_failed_outcome() {
    let gone_endpoint = FakeEndpoint::new(|_, _| Reply::Respond("410 Gone", String::new()));
    let (good, _) = good_and_bad_endpoint();
    let sidecar = Sidecar::new(&destinations(gone_endpoint.address, good.address));
    assert_eq!(sidecar.submit("notice", "m1", 1), 202);
    wait_until("the message has failed", || {
        sidecar.get("/v1/messages/m1").1.contains("failed")
    });
    assert_eq!(gone_endpoint.attempt_count("m1"), 1);
}

#[test]
fn a_changed_endpoints_file_is_applied_and_an_invalid_one_changes_nothing() {
    let (first, second) = (FakeEndpoint::new(|_, _| OK), FakeEndpoint::new(|_, _| OK));
    let folder = new_folder();
    let file = folder.join("endpoints.toml");
    let write = |text: String| {
        std::fs::write(folder.join("new"), text).expect("written");
        std::fs::rename(folder.join("new"), &file).expect("replaced");
    };
    let endpoints_toml =
        |address: SocketAddr| format!("[destination.1]\nendpoints = ['{address}']\n");
    write(endpoints_toml(first.address));
    let sidecar = Sidecar::start(
        folder.clone(),
        unused_address(),
        unused_address(),
        "[endpoints]\nfile = 'endpoints.toml'\n",
    );
    assert_eq!(sidecar.submit("notice", "m1", 1), 202);
    wait_until("delivered to the first", || first.attempt_count("m1") == 1);
    write("[destination.1]\nendpoints = ['nonsense']\n".to_string());
    wait_until("the invalid file is logged", || {
        sidecar.logged("nothing changed")
    });
    assert_eq!(sidecar.submit("notice", "m2", 1), 202);
    wait_until("delivered as before", || first.attempt_count("m2") == 1);
    write(endpoints_toml(second.address));
    wait_until("the new endpoint list is used", || {
        let id = format!("n{}", first.request_count());
        assert_eq!(sidecar.submit("notice", &id, 1), 202);
        wait_until("the message is delivered", || {
            first.attempt_count(&id) + second.attempt_count(&id) > 0
        });
        second.request_count() > 0
    });
}

/// Starts a sidecar that must reject its configuration; returns its standard error.
fn rejection_text(file: &Path) -> String {
    let output: Output = command(&["sidecar", "--config", file.to_str().expect("text")])
        .output()
        .expect("the process ends");
    assert_eq!(output.status.code(), Some(1));
    String::from_utf8(output.stderr).expect("text")
}

#[test]
fn a_start_rejects_a_configuration_with_the_text_of_config_check() {
    let folder = new_folder();
    let file = folder.join("app.toml");
    let (http, outcomes) = (unused_address(), unused_address());
    let extra_settings = "[destination.a]\nid = 1\nendpoints = ['127.0.0.1:9']\n";
    // a deadline that is longer than the deduplication window
    std::fs::write(
        &file,
        config(http, outcomes, extra_settings)
            .replace("'12s'\n[class.order]", "'30s'\n[class.order]"),
    )
    .expect("written");
    let text = rejection_text(&file);
    let check = command(&["config", "check", file.to_str().expect("text")])
        .output()
        .expect("the process ends");
    let checked = String::from_utf8(check.stderr).expect("text");
    assert_eq!(check.status.code(), Some(1));
    assert!(
        text.contains("MT035") && checked.contains("MT035"),
        "{text}\n{checked}"
    );
    let first_finding = |text: &str| text.split("\n\n").next().unwrap_or("").to_string();
    assert_eq!(first_finding(&text), first_finding(&checked));
    assert!(!folder.join("app.state").exists(), "nothing is started");
    // a state folder with files of another program
    std::fs::write(&file, config(http, outcomes, extra_settings)).expect("written");
    std::fs::create_dir(folder.join("app.state")).expect("made");
    std::fs::write(folder.join("app.state/precious.doc"), "x").expect("written");
    assert!(rejection_text(&file).contains("MT052"));
    std::fs::remove_file(folder.join("app.state/precious.doc")).expect("removed");
    // a state folder and ports that are in use
    let sidecar = Sidecar::run(file.clone(), http, outcomes);
    let text = rejection_text(&file);
    assert!(text.contains("MT053") && text.contains("MT054"), "{text}");
    drop(sidecar);
    // an endpoints file that does not exist
    let extra_settings = "[endpoints]\nfile = 'none.toml'\n";
    std::fs::write(&file, config(http, outcomes, extra_settings)).expect("written");
    assert!(rejection_text(&file).contains("MT055"));
    // a state folder that can't be created
    let text = config(
        http,
        outcomes,
        "[destination.a]\nid = 1\nendpoints = ['127.0.0.1:9']\n",
    );
    std::fs::write(folder.join("plain"), "").expect("written");
    std::fs::write(&file, text.replace("'app.state'", "'plain/state'")).expect("written");
    assert!(rejection_text(&file).contains("MT050"));
}

#[test]
fn a_reload_of_an_invalid_configuration_is_logged_and_counted_and_changes_nothing() {
    let (good, bad) = good_and_bad_endpoint();
    let extra_settings = destinations(good.address, bad.address);
    let (folder, http, outcomes, admin_address) = (
        new_folder(),
        unused_address(),
        unused_address(),
        unused_address(),
    );
    let file = folder.join("app.toml");
    let text = config(http, outcomes, &extra_settings);
    let text = text.replace(
        "[class.notice]",
        &format!("operators = '{admin_address}'\n[class.notice]"),
    );
    std::fs::write(&file, &text).expect("written");
    let sidecar = Sidecar::run(file, http, outcomes);
    let rejected = || {
        let response =
            Client::new(admin_address).send(b"GET /-/metrics HTTP/1.1\r\nHost: a\r\n\r\n");
        let (status, response) = response.expect("a response");
        assert_eq!(status, 200);
        let metrics = String::from_utf8(response.body).expect("text");
        metrics
            .lines()
            .find_map(|sample| sample.strip_prefix("relay.config_rejected:"))
            .map(str::to_string)
    };
    assert_eq!(rejected().as_deref(), Some("0|c"));
    std::fs::write(&sidecar.file, text.replace("name = 'app'", "nam = 'app'")).expect("written");
    let send_sighup = || {
        let id = sidecar.process.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-HUP", &id])
                .status()
                .expect("kill runs")
                .success()
        );
    };
    send_sighup();
    wait_until("the invalid configuration is logged", || {
        sidecar.logged("would be rejected at a start")
    });
    assert!(sidecar.logged("MT005"));
    assert_eq!(rejected().as_deref(), Some("1|c"));
    assert_eq!(sidecar.submit("notice", "m1", 1), 202);
    wait_until("the sidecar still delivers", || {
        good.attempt_count("m1") == 1
    });
    std::fs::write(&sidecar.file, text).expect("written");
    send_sighup();
    wait_until("the valid configuration is logged", || {
        sidecar.logged("is sound")
    });
}

#[test]
fn the_demo_delivers_one_message_without_any_setup() {
    let output = command(&["demo", "--once"])
        .stdout(Stdio::piped())
        .output()
        .expect("the process ends");
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(output.status.success(), "{text}");
    assert!(
        text.contains("202") && text.contains("\"state\":\"delivered\""),
        "{text}"
    );
}

#[test]
fn a_configuration_from_config_new_is_valid_and_starts() {
    let good = FakeEndpoint::new(|_, _| OK);
    let folder = new_folder();
    for effect in ["keyed", "unsafe", "repeatable"] {
        let arguments = [
            "config",
            "new",
            "--name",
            effect,
            "--effect",
            effect,
            "--endpoint",
        ];
        let output = command(&arguments)
            .arg(good.address.to_string())
            .stdout(Stdio::piped())
            .output()
            .expect("the process ends");
        let text = String::from_utf8(output.stdout).expect("text");
        let (http, outcomes) = (unused_address(), unused_address());
        let text = text.replace("127.0.0.1:7001", &http.to_string());
        let text = text.replace("127.0.0.1:7101", &outcomes.to_string());
        let file = folder.join(format!("{effect}.toml"));
        std::fs::write(&file, text).expect("written");
        let sidecar = Sidecar::run(file, http, outcomes);
        assert_eq!(sidecar.submit("notice", effect, 1), 202);
        wait_until("the message is delivered", || {
            good.attempt_count(effect) == 1
        });
    }
}

#[test]
fn the_reference_page_matches_the_output_of_config_reference() {
    let output = command(&["config", "reference"])
        .stdout(Stdio::piped())
        .output()
        .expect("the process ends");
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/reference/configuration.md");
    let page_text = std::fs::read_to_string(page).expect("the page");
    assert_eq!(
        String::from_utf8(output.stdout).expect("text"),
        page_text,
        "regenerate the page with `milletturn config reference`"
    );
}

/// Takes a seeded sample of variants of the valid examples: each one that `config check` accepts must start and deliver.
#[test]
fn configurations_that_config_check_accepts_start_and_deliver() {
    let good = FakeEndpoint::new(|_, _| OK);
    let folder = new_folder();
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/sidecar");
    let text = ["billing", "ordering"].map(|name| {
        let text = std::fs::read_to_string(examples.join(format!("{name}.toml"))).expect("read");
        text.replace(
            "endpoints = [\"127.0.0.1:9001\", \"127.0.0.1:9002\"]",
            &format!("endpoints = [\"{}\"]", good.address),
        )
    });
    let mut all: Vec<(String, String)> =
        text.iter().flat_map(|text| config_variants(text)).collect();
    // a linear congruential generator with the multiplier and increment of Knuth's MMIX, from a fixed seed
    let mut state = 20_261_201u64;
    let mut started = 0;
    while started < 12 {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let (variant, text) = all.swap_remove((state >> 33) as usize % all.len());
        let (http, outcomes) = (unused_address(), unused_address());
        let text = text
            .replace("127.0.0.1:7002", &http.to_string())
            .replace("127.0.0.1:7102", &outcomes.to_string());
        let text = text
            .replace("127.0.0.1:7003", &http.to_string())
            .replace("127.0.0.1:7103", &outcomes.to_string());
        let file = folder.join(format!("variant-{started}.toml"));
        let text = text.replace(".state\"", &format!("-{started}.state\""));
        std::fs::write(&file, &text).expect("written");
        let check = command(&["config", "check", "--here", file.to_str().expect("text")])
            .output()
            .expect("the process ends");
        // other tests cover rejected variants; variants with another class or address would need another client
        let is_reachable =
            text.contains(&format!("{http}\"")) && text.contains(&format!("{outcomes}\""));
        if !check.status.success() || !is_reachable || !text.contains("id = 7\n") {
            continue;
        }
        let class = if text.contains("[class.order]") {
            "order"
        } else {
            "notice"
        };
        let sidecar = Sidecar::run(file, http, outcomes);
        let id = format!("v{started}");
        assert_eq!(sidecar.submit(class, &id, 7), 202, "{variant}");
        wait_until(&format!("delivered, {variant}"), || {
            good.attempt_count(&id) >= 1
        });
        started += 1;
    }
}

#[test]
fn outcomes_are_sent_to_the_callback_until_it_accepts_them_also_across_kills() {
    let (good, bad) = good_and_bad_endpoint();
    let call_count = Arc::new(AtomicUsize::new(0));
    let count = call_count.clone();
    // the callback rejects the first 4 calls and every third one
    let callback = FakeEndpoint::new(move |_, _| match count.fetch_add(1, Ordering::SeqCst) {
        number if number < 4 || number % 3 == 0 => Reply::Respond("500 Oops", String::new()),
        _ => OK,
    });
    let extra_settings = destinations(good.address, bad.address);
    let mut sidecar = Sidecar::new(&format!(
        "[outcomes]\ncallback = '{}'\n{extra_settings}",
        callback.address
    ));
    let mut accepted = Vec::new();
    for round in 0..3 {
        for n in 0..20 {
            let id = format!("m{round}-{n}");
            let (class, dest) = if n % 9 == 8 {
                ("order", 2)
            } else {
                ("notice", 1)
            };
            if sidecar.submit(class, &id, dest) == 202 {
                accepted.push(id);
            }
        }
        sidecar = sidecar.restart();
    }
    assert!(accepted.len() > 40, "{}", accepted.len());
    let received_outcomes = || -> Vec<serde_json::Value> {
        let requests = (0..callback.request_count()).map(|number| callback.request(number));
        requests
            .map(|request| serde_json::from_slice(&request.body).expect("JSON"))
            .collect()
    };
    wait_until("each outcome has arrived", || {
        let ids: Vec<String> = received_outcomes()
            .iter()
            .map(|outcome| outcome["id"].as_str().expect("an id").to_string())
            .collect();
        accepted.iter().all(|id| ids.contains(id))
    });
    // one outcome for each message: repeated callbacks have the same cursor and the same content
    let mut first_outcomes = BTreeMap::<String, serde_json::Value>::new();
    for outcome in received_outcomes() {
        let id = outcome["id"].as_str().expect("an id").to_string();
        assert!(
            !id.starts_with("outcome:"),
            "an outcome of an outcome's own delivery: {outcome}"
        );
        let first = first_outcomes.entry(id).or_insert_with(|| outcome.clone());
        assert_eq!(*first, outcome);
    }
    wait_until("the last outcome is acknowledged", || {
        sidecar
            .get(&format!("/v1/messages/{}", accepted[accepted.len() - 1]))
            .0
            == 404
    });
}

#[test]
fn a_returned_message_is_stored_and_listed_by_the_configuration_file() {
    let (good, bad) = good_and_bad_endpoint();
    let extra_settings = destinations(good.address, bad.address);
    let store = "[undelivered]\nkeep = true\n[resend.soon]\nclass = 'notice'\nwell_for = '0s'\n";
    let sidecar = Sidecar::new(&format!(
        "[limits]\ndisk = '60MB'\n[retry]\nattempts = 2\n{store}{extra_settings}"
    ));
    assert_eq!(sidecar.submit("notice", "m1", 2), 202);
    wait_until("the message is returned", || {
        sidecar.get("/v1/messages/m1").1.contains("returned")
    });
    let file = sidecar.file.to_str().expect("text");
    let run_command = |arguments: &[&str]| {
        let output = command(arguments)
            .stdout(Stdio::piped())
            .output()
            .expect("the process ends");
        String::from_utf8(output.stdout).expect("text")
    };
    wait_until("the message is in the store", || {
        run_command(&["undelivered", "--config", file, "--format", "json", "list"])
            .contains("\"m1\"")
    });
    let shown = run_command(&["config", "show", file]);
    assert!(
        shown.contains("what failed or was returned is kept; sent again by soon, but"),
        "{shown}"
    );
}

#[test]
fn config_check_compares_the_endpoints_file_with_the_configurations_that_use_it() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/sidecar");
    let folder = new_folder();
    let mut files = Vec::new();
    for name in ["billing", "catalogue", "ordering", "endpoints"] {
        let file = folder.join(format!("{name}.toml"));
        std::fs::copy(examples.join(format!("{name}.toml")), &file).expect("copied");
        files.push(file.to_str().expect("text").to_string());
    }
    let check = || {
        let mut arguments = vec!["config", "check"];
        arguments.extend(files.iter().map(String::as_str));
        let output = command(&arguments).output().expect("the process ends");
        (
            output.status.code(),
            String::from_utf8(output.stderr).expect("text"),
        )
    };
    assert_eq!(check(), (Some(0), String::new()));
    let catalogue = std::fs::read_to_string(&files[1]).expect("read");
    std::fs::write(
        &files[1],
        format!("{catalogue}\n[destination.lab]\nid = 13\n"),
    )
    .expect("written");
    let (code, text) = check();
    assert!(
        code == Some(1) && text.contains("has no endpoint of 13"),
        "{text}"
    );
    assert!(text.contains("1 finding;"), "{text}");
    std::fs::write(&files[3], "[destination.11]\nendpoints = [\"nonsense\"]\n").expect("written");
    let (code, text) = check();
    assert!(code == Some(1) && text.contains("MT055"), "{text}");
}
