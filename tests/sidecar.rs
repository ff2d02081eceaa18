//! The sidecar as a process of its own: starts, refusals to start, endpoints from a file, final answers.

#![expect(
    clippy::needless_pass_by_value,
    reason = "scenarios of this file have not had their turn yet"
)]

use milletturn_test_support::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

fn folder() -> PathBuf {
    let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
    let name = format!("sidecar-{}-{number}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// A port that was free just now, on an address that nothing else uses: on 127.0.0.1 a client's connection could take
/// it before the sidecar does.
fn free() -> SocketAddr {
    static ADDRESSES: AtomicUsize = AtomicUsize::new(1);
    let number = ADDRESSES.fetch_add(1, Ordering::SeqCst) as u32 + (std::process::id() << 8);
    let [_, b, c, d] = number.to_be_bytes();
    UnusedAddress::bind_on([127, b | 1, c, d]).address
}

fn command(words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_milletturn"));
    command
        .args(words)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}

struct Sidecar {
    file: PathBuf,
    http: SocketAddr,
    outcomes: SocketAddr,
    process: Child,
    log: Arc<Mutex<Vec<String>>>,
}

fn config(http: SocketAddr, outcomes: SocketAddr, rest: &str) -> String {
    format!(
        "name = 'app'\nstate = 'app.state'\n[listen]\nhttp = '{http}'\noutcomes = '{outcomes}'\n\
         [class.notice]\neffect = 'keyed'\nwindow = '12s'\ndeadline = '12s'\n\
         [class.order]\neffect = 'unsafe'\ndeadline = '2s'\naim = '1s'\n{rest}"
    )
}

impl Sidecar {
    fn new(rest: &str) -> Self {
        Sidecar::start(folder(), free(), free(), rest)
    }

    fn start(folder: PathBuf, http: SocketAddr, outcomes: SocketAddr, rest: &str) -> Self {
        let file = folder.join("app.toml");
        std::fs::write(&file, config(http, outcomes, rest)).expect("written");
        Sidecar::run(file, http, outcomes)
    }

    fn run(file: PathBuf, http: SocketAddr, outcomes: SocketAddr) -> Self {
        let mut process = command(&["sidecar", "--config", file.to_str().expect("text")])
            .spawn()
            .expect("it starts");
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let (here, errors) = (log.clone(), process.stderr.take().expect("piped"));
        std::thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                here.lock().expect("not poisoned").push(line);
            }
        });
        let mut sidecar = Sidecar {
            file,
            http,
            outcomes,
            process,
            log,
        };
        // by its own word: it says so once both doors are open
        wait_until("it listens for readers", || {
            let ended = sidecar.process.try_wait().expect("asked");
            assert!(
                ended.is_none(),
                "{ended:?}: {:#?}",
                sidecar.log.lock().expect("not poisoned")
            );
            sidecar.logged("outcomes on")
        });
        wait_until("it is ready", || {
            sidecar.status(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n") == 200
        });
        sidecar
    }

    fn status(&self, bytes: &[u8]) -> u16 {
        Client::new(self.http)
            .send(bytes)
            .map_or(0, |(status, _)| status)
    }

    fn submit(&self, class: &str, id: &str, dest: u64) -> u16 {
        self.status(&message_request(class, id, dest, 2_000, b"x"))
    }

    fn restart(mut self) -> Self {
        let _ = self.process.kill();
        self.process.wait().expect("ended");
        let (file, http, outcomes) = (self.file.clone(), self.http, self.outcomes);
        Sidecar::run(file, http, outcomes)
    }

    fn logged(&self, text: &str) -> bool {
        self.log
            .lock()
            .expect("not poisoned")
            .iter()
            .any(|line| line.contains(text))
    }

    fn get(&self, path: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.outcomes).expect("it accepts");
        let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("written");
        let mut text = String::new();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        stream.read_to_string(&mut text).expect("an answer");
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0);
        (
            status,
            text.split("\r\n\r\n").nth(1).unwrap_or("").to_string(),
        )
    }

    fn reader(&self, from: u64) -> Reader {
        let mut stream = TcpStream::connect(self.outcomes).expect("it accepts");
        let request = format!("GET /v1/outcomes?from={from} HTTP/1.1\r\nHost: a\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("written");
        stream
            .set_read_timeout(Some(Duration::from_millis(100)))
            .expect("set");
        Reader {
            stream: BufReader::new(stream),
            line: Vec::new(),
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A stream of outcomes.
struct Reader {
    stream: BufReader<TcpStream>,
    line: Vec<u8>,
}

impl Reader {
    /// The next outcome: none while nothing comes, an error at the end of the connection. Lines of heads and chunk
    /// sizes are passed over.
    fn next(&mut self) -> Result<Option<serde_json::Value>, ()> {
        loop {
            match self.stream.read_until(b'\n', &mut self.line) {
                Ok(0) => return Err(()),
                Ok(_) if self.line.ends_with(b"\n") => {
                    let line = std::mem::take(&mut self.line);
                    if line.starts_with(b"{") {
                        return Ok(Some(serde_json::from_slice(&line).expect("JSON")));
                    }
                }
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return Ok(None),
                Err(_) => return Err(()),
            }
        }
    }
}

fn destinations(good: SocketAddr, bad: SocketAddr) -> String {
    format!(
        "[destination.good]\nid = 1\nendpoints = ['{good}']\n[destination.bad]\nid = 2\nendpoints = ['{bad}']\n"
    )
}

fn endpoints() -> (FakeEndpoint, FakeEndpoint) {
    (
        FakeEndpoint::new(|_, _| OK),
        FakeEndpoint::new(|_, _| Reply::Respond("500 Oops", String::new())),
    )
}

#[test]
fn each_message_has_exactly_one_final_answer_across_kills_and_reconnects() {
    let (good, bad) = endpoints();
    let rest = destinations(good.address, bad.address);
    let mut sidecar = Sidecar::new(&format!("[limits]\nheld = 4000\ndisk = '60MB'\n{rest}"));
    let (mut cursor, mut handed, mut answers) = (0, 0u32, BTreeMap::<String, u32>::new());
    let mut taken = Vec::new();
    for round in 0..12u32 {
        let mut reader = sidecar.reader(cursor);
        let mut read = 0;
        for _ in 0..440 {
            handed += 1;
            let (class, dest) = if handed % 9 == 0 {
                ("order", 2)
            } else {
                ("notice", 1)
            };
            let id = format!("m{handed}");
            if sidecar.submit(class, &id, dest) == 202 {
                taken.push(id);
            }
            // the reader is dropped in the middle, and comes again with its cursor
            if handed % (70 + round) == 0 {
                while let Ok(Some(outcome)) = reader.next() {
                    cursor = outcome["cursor"].as_u64().expect("a cursor");
                    *answers
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
    wait_until("all are answered", || {
        while let Ok(Some(outcome)) = reader.next() {
            *answers
                .entry(outcome["id"].as_str().expect("an id").to_string())
                .or_default() += 1;
        }
        taken.iter().all(|id| answers.contains_key(id))
    });
    assert!(taken.len() > 5_000, "{}", taken.len());
    let doubled: Vec<_> = answers.iter().filter(|(_, count)| **count != 1).collect();
    assert!(doubled.is_empty(), "{doubled:?}");
}

#[test]
fn a_message_is_found_by_its_id_and_acknowledged_answers_go() {
    let (good, bad) = endpoints();
    let sidecar = Sidecar::new(&destinations(good.address, bad.address));
    assert_eq!(sidecar.get("/v1/messages/none").0, 404);
    assert_eq!(sidecar.submit("notice", "m1", 1), 202);
    let mut text = String::new();
    wait_until("it is delivered", || {
        text = sidecar.get("/v1/messages/m1").1;
        text.contains("delivered")
    });
    assert_eq!(sidecar.submit("order", "m2", 2), 202);
    wait_until("it has failed", || {
        sidecar.get("/v1/messages/m2").1.contains("failed")
    });
    let (status, text) = sidecar.get("/v1/outcomes?from=99");
    assert_eq!((status, text.contains("never given")), (409, true));
    assert_eq!(sidecar.get("/v1/outcomes?from=x").0, 400);
    let mut reader = sidecar.reader(1);
    wait_until("the first is acknowledged", || {
        sidecar.get("/v1/messages/m1").0 == 404
    });
    let mut found = None;
    wait_until("the second is read", || {
        found = reader.next().expect("the stream is open");
        found.is_some()
    });
    assert_eq!(found.expect("read")["id"], "m2");
}

#[test]
fn a_message_that_its_destination_says_is_over_has_a_final_answer_too() {
    let gone = FakeEndpoint::new(|_, _| Reply::Respond("410 Gone", String::new()));
    let (good, _) = endpoints();
    let sidecar = Sidecar::new(&destinations(gone.address, good.address));
    assert_eq!(sidecar.submit("notice", "m1", 1), 202);
    wait_until("it has ended", || {
        sidecar.get("/v1/messages/m1").1.contains("failed")
    });
    assert_eq!(gone.attempt_count("m1"), 1);
}

#[test]
fn a_changed_file_of_endpoints_counts_and_a_broken_one_changes_nothing() {
    let (first, second) = (FakeEndpoint::new(|_, _| OK), FakeEndpoint::new(|_, _| OK));
    let folder = folder();
    let file = folder.join("endpoints.toml");
    let write = |text: String| {
        std::fs::write(folder.join("new"), text).expect("written");
        std::fs::rename(folder.join("new"), &file).expect("replaced");
    };
    let of = |address: SocketAddr| format!("[destination.1]\nendpoints = ['{address}']\n");
    write(of(first.address));
    let sidecar = Sidecar::start(
        folder.clone(),
        free(),
        free(),
        "[endpoints]\nfile = 'endpoints.toml'\n",
    );
    assert_eq!(sidecar.submit("notice", "m1", 1), 202);
    wait_until("delivered to the first", || first.attempt_count("m1") == 1);
    write("[destination.1]\nendpoints = ['nonsense']\n".to_string());
    wait_until("the broken file is told", || {
        sidecar.logged("nothing changed")
    });
    assert_eq!(sidecar.submit("notice", "m2", 1), 202);
    wait_until("delivered as before", || first.attempt_count("m2") == 1);
    write(of(second.address));
    wait_until("the new list counts", || {
        let id = format!("n{}", first.request_count());
        assert_eq!(sidecar.submit("notice", &id, 1), 202);
        wait_until("delivered", || {
            first.attempt_count(&id) + second.attempt_count(&id) > 0
        });
        second.request_count() > 0
    });
}

fn refused(file: &Path) -> String {
    let output: Output = command(&["sidecar", "--config", file.to_str().expect("text")])
        .output()
        .expect("it ends");
    assert_eq!(output.status.code(), Some(1));
    String::from_utf8(output.stderr).expect("text")
}

#[test]
fn what_a_check_finds_a_start_refuses_with_the_same_words() {
    let folder = folder();
    let file = folder.join("app.toml");
    let (http, outcomes) = (free(), free());
    let rest = "[destination.a]\nid = 1\nendpoints = ['127.0.0.1:9']\n";
    // broken by itself
    std::fs::write(
        &file,
        config(http, outcomes, rest).replace("'12s'\n[class.order]", "'30s'\n[class.order]"),
    )
    .expect("written");
    let text = refused(&file);
    let check = command(&["config", "check", file.to_str().expect("text")])
        .output()
        .expect("it ends");
    let checked = String::from_utf8(check.stderr).expect("text");
    assert_eq!(check.status.code(), Some(1));
    assert!(
        text.contains("MT035") && checked.contains("MT035"),
        "{text}\n{checked}"
    );
    let picture = |text: &str| text.split("\n\n").next().unwrap_or("").to_string();
    assert_eq!(picture(&text), picture(&checked));
    assert!(!folder.join("app.state").exists(), "nothing is started");
    // a folder of somebody else
    std::fs::write(&file, config(http, outcomes, rest)).expect("written");
    std::fs::create_dir(folder.join("app.state")).expect("made");
    std::fs::write(folder.join("app.state/precious.doc"), "x").expect("written");
    assert!(refused(&file).contains("MT052"));
    std::fs::remove_file(folder.join("app.state/precious.doc")).expect("removed");
    // a folder and ports in use
    let sidecar = Sidecar::run(file.clone(), http, outcomes);
    let text = refused(&file);
    assert!(text.contains("MT053") && text.contains("MT054"), "{text}");
    drop(sidecar);
    // a file of endpoints that is not there
    let rest = "[endpoints]\nfile = 'none.toml'\n";
    std::fs::write(&file, config(http, outcomes, rest)).expect("written");
    assert!(refused(&file).contains("MT055"));
    // a folder that can't be made
    let text = config(
        http,
        outcomes,
        "[destination.a]\nid = 1\nendpoints = ['127.0.0.1:9']\n",
    );
    std::fs::write(folder.join("plain"), "").expect("written");
    std::fs::write(&file, text.replace("'app.state'", "'plain/state'")).expect("written");
    assert!(refused(&file).contains("MT050"));
}

#[test]
fn a_reload_that_would_be_rejected_changes_nothing_and_says_so() {
    let (good, bad) = endpoints();
    let rest = destinations(good.address, bad.address);
    let (folder, http, outcomes, operators) = (folder(), free(), free(), free());
    let file = folder.join("app.toml");
    let text = config(http, outcomes, &rest);
    let text = text.replace(
        "[class.notice]",
        &format!("operators = '{operators}'\n[class.notice]"),
    );
    std::fs::write(&file, &text).expect("written");
    let sidecar = Sidecar::run(file, http, outcomes);
    let rejected = || {
        let asked = Client::new(operators).send(b"GET /-/metrics HTTP/1.1\r\nHost: a\r\n\r\n");
        let (status, answer) = asked.expect("an answer");
        assert_eq!(status, 200);
        let lines = String::from_utf8(answer.body).expect("text");
        lines
            .lines()
            .find_map(|line| line.strip_prefix("relay.config_rejected:"))
            .map(str::to_string)
    };
    assert_eq!(rejected().as_deref(), Some("0|c"));
    std::fs::write(&sidecar.file, text.replace("name = 'app'", "nam = 'app'")).expect("written");
    let hangup = || {
        let id = sidecar.process.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-HUP", &id])
                .status()
                .expect("kill runs")
                .success()
        );
    };
    hangup();
    wait_until("it is told", || {
        sidecar.logged("would be rejected at a start")
    });
    assert!(sidecar.logged("MT005"));
    assert_eq!(rejected().as_deref(), Some("1|c"));
    assert_eq!(sidecar.submit("notice", "m1", 1), 202);
    wait_until("it goes on", || good.attempt_count("m1") == 1);
    std::fs::write(&sidecar.file, text).expect("written");
    hangup();
    wait_until("it is sound", || sidecar.logged("is sound"));
}

#[test]
fn the_demo_delivers_one_message_with_nothing_to_set_up() {
    let output = command(&["demo", "--once"])
        .stdout(Stdio::piped())
        .output()
        .expect("it ends");
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(output.status.success(), "{text}");
    assert!(
        text.contains("202") && text.contains("\"state\":\"delivered\""),
        "{text}"
    );
}

#[test]
fn a_new_configuration_is_sound_and_starts() {
    let good = FakeEndpoint::new(|_, _| OK);
    let folder = folder();
    for effect in ["keyed", "unsafe", "repeatable"] {
        let words = [
            "config",
            "new",
            "--name",
            effect,
            "--effect",
            effect,
            "--endpoint",
        ];
        let output = command(&words)
            .arg(good.address.to_string())
            .stdout(Stdio::piped())
            .output()
            .expect("it ends");
        let text = String::from_utf8(output.stdout).expect("text");
        let (http, outcomes) = (free(), free());
        let text = text.replace("127.0.0.1:7001", &http.to_string());
        let text = text.replace("127.0.0.1:7101", &outcomes.to_string());
        let file = folder.join(format!("{effect}.toml"));
        std::fs::write(&file, text).expect("written");
        let sidecar = Sidecar::run(file, http, outcomes);
        assert_eq!(sidecar.submit("notice", effect, 1), 202);
        wait_until("delivered", || good.attempt_count(effect) == 1);
    }
}

#[test]
fn the_reference_page_is_the_programs() {
    let output = command(&["config", "reference"])
        .stdout(Stdio::piped())
        .output()
        .expect("it ends");
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/reference/configuration.md");
    let kept = std::fs::read_to_string(page).expect("the page");
    assert_eq!(
        String::from_utf8(output.stdout).expect("text"),
        kept,
        "write it anew by `milletturn config reference`"
    );
}

/// A seeded sample of variants of the good examples, by a real start: what the check takes starts, and delivers.
#[test]
fn what_the_check_takes_starts_and_delivers() {
    let good = FakeEndpoint::new(|_, _| OK);
    let folder = folder();
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
    // a seed of its own: a multiplier and an increment from Knuth's MMIX generator
    let mut state = 20_261_201u64;
    let mut started = 0;
    while started < 12 {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let (variant, text) = all.swap_remove((state >> 33) as usize % all.len());
        let (http, outcomes) = (free(), free());
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
            .expect("it ends");
        // what is rejected is seen elsewhere; a class or address of another name would need another client
        let usual = text.contains(&format!("{http}\"")) && text.contains(&format!("{outcomes}\""));
        if !check.status.success() || !usual || !text.contains("id = 7\n") {
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
fn final_answers_go_to_the_callback_until_they_are_taken_also_across_kills() {
    let (good, bad) = endpoints();
    let calls = Arc::new(AtomicUsize::new(0));
    let seen = calls.clone();
    // it turns away every third, and the first ones
    let callback = FakeEndpoint::new(move |_, _| match seen.fetch_add(1, Ordering::SeqCst) {
        number if number < 4 || number % 3 == 0 => Reply::Respond("500 Oops", String::new()),
        _ => OK,
    });
    let rest = destinations(good.address, bad.address);
    let mut sidecar = Sidecar::new(&format!(
        "[outcomes]\ncallback = '{}'\n{rest}",
        callback.address
    ));
    let mut taken = Vec::new();
    for round in 0..3 {
        for n in 0..20 {
            let id = format!("m{round}-{n}");
            let (class, dest) = if n % 9 == 8 {
                ("order", 2)
            } else {
                ("notice", 1)
            };
            if sidecar.submit(class, &id, dest) == 202 {
                taken.push(id);
            }
        }
        sidecar = sidecar.restart();
    }
    assert!(taken.len() > 40, "{}", taken.len());
    let answered = || -> Vec<serde_json::Value> {
        let requests = (0..callback.request_count()).map(|number| callback.request(number));
        requests
            .map(|request| serde_json::from_slice(&request.body).expect("JSON"))
            .collect()
    };
    wait_until("each answer has come", || {
        let ids: Vec<String> = answered()
            .iter()
            .map(|one| one["id"].as_str().expect("an id").to_string())
            .collect();
        taken.iter().all(|id| ids.contains(id))
    });
    // one answer each: repeats have the same cursor and say the same
    let mut said = BTreeMap::<String, serde_json::Value>::new();
    for answer in answered() {
        let id = answer["id"].as_str().expect("an id").to_string();
        assert!(
            !id.starts_with("outcome:"),
            "an answer about an answer: {answer}"
        );
        let first = said.entry(id).or_insert_with(|| answer.clone());
        assert_eq!(*first, answer);
    }
    wait_until("all are acknowledged", || {
        sidecar
            .get(&format!("/v1/messages/{}", taken[taken.len() - 1]))
            .0
            == 404
    });
}

#[test]
fn what_was_returned_is_kept_and_is_found_by_the_configuration() {
    let (good, bad) = endpoints();
    let rest = destinations(good.address, bad.address);
    let store = "[undelivered]\nkeep = true\n[resend.soon]\nclass = 'notice'\nwell_for = '0s'\n";
    let sidecar = Sidecar::new(&format!(
        "[limits]\ndisk = '60MB'\n[retry]\nattempts = 2\n{store}{rest}"
    ));
    assert_eq!(sidecar.submit("notice", "m1", 2), 202);
    wait_until("it is returned", || {
        sidecar.get("/v1/messages/m1").1.contains("returned")
    });
    let file = sidecar.file.to_str().expect("text");
    let ask = |words: &[&str]| {
        let output = command(words)
            .stdout(Stdio::piped())
            .output()
            .expect("it ends");
        String::from_utf8(output.stdout).expect("text")
    };
    wait_until("it is in the store", || {
        ask(&["undelivered", "--config", file, "--format", "json", "list"]).contains("\"m1\"")
    });
    let shown = ask(&["config", "show", file]);
    assert!(
        shown.contains("what failed or was returned is kept; sent again by soon, but"),
        "{shown}"
    );
}

#[test]
fn a_list_of_endpoints_is_checked_as_one_and_with_those_who_name_it() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/sidecar");
    let folder = folder();
    let mut files = Vec::new();
    for name in ["billing", "catalogue", "ordering", "endpoints"] {
        let file = folder.join(format!("{name}.toml"));
        std::fs::copy(examples.join(format!("{name}.toml")), &file).expect("copied");
        files.push(file.to_str().expect("text").to_string());
    }
    let check = || {
        let mut words = vec!["config", "check"];
        words.extend(files.iter().map(String::as_str));
        let output = command(&words).output().expect("it ends");
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
