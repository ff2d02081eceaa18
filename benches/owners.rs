//! Costs of exclusive ownership of a resource: `cargo bench --bench owners [-- renewals]`.
//!
//! Runs three coordinators as processes on this machine, with a lease of 2 s. Measures the time without writes after
//! the owner of a resource was terminated, killed, suspended or disconnected and after the leader was killed, the rate
//! of fenced writes, and what the heartbeats of 300 members cost the coordinators. All traffic uses loopback and one
//! disk; a real network adds its round trips.

use milletturn_cluster_harness::cluster::{DEFAULT_LEASE, GROUP_NAME};
use milletturn_cluster_harness::history::writes_of;
use milletturn_cluster_harness::process::wait_until;
use milletturn_cluster_harness::{Cluster, Process};
use milletturn_coordination::MemberInfo;
use milletturn_member::{CoordinatorClient, Member};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_milletturn");
/// Rounds for each fault.
const ROUNDS: usize = 7;
const MEMBERS: usize = 300;
/// Time over which the costs of the coordinators are measured.
const MEASURED_TIME: Duration = Duration::from_secs(20);

fn main() {
    // `-- renewals` measures only the cost of heartbeats
    if std::env::args().any(|argument| argument == "renewals") {
        return measure_heartbeat_cost();
    }
    println!(
        "lease {DEFAULT_LEASE}, {ROUNDS} rounds each; seconds from the fault to the next act, whoever does it"
    );
    println!("{:<28} {:>8} {:>8}", "fault", "median", "worst");
    for (name, fault) in [
        ("owner ends by SIGTERM", Fault::Terminate),
        ("owner killed", Fault::Kill),
        ("owner stopped", Fault::Suspend),
        ("owner cut off", Fault::Disconnect),
        ("leading coordinator killed", Fault::KillLeader),
    ] {
        let mut seconds: Vec<f64> = (0..ROUNDS)
            .map(|_| time_to_next_write(fault).as_secs_f64())
            .collect();
        seconds.sort_by(f64::total_cmp);
        println!(
            "{name:<28} {:>8.2} {:>8.2}",
            seconds[ROUNDS / 2],
            seconds[ROUNDS - 1]
        );
    }
    measure_write_rate();
    measure_heartbeat_cost();
}

/// What happens to the owner of the resource, or to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// SIGTERM to the owner, which releases the resource.
    Terminate,
    /// SIGKILL to the owner.
    Kill,
    /// The owner's process is suspended.
    Suspend,
    /// The owner loses its connections to the coordinators.
    Disconnect,
    /// SIGKILL to the leading coordinator.
    KillLeader,
}

/// Time from the fault until the next write, by the second member or, after the loss of the leader, by the owner.
fn time_to_next_write(fault: Fault) -> Duration {
    let mut group = Cluster::start(PROGRAM, 3);
    let (owner_connection, successor_connection) = (group.connect_client(), group.connect_client());
    let mut owner = group.start_member(&owner_connection, "w", "a");
    owner.wait_for_lines(3, |event| event.contains("\"acted\""));
    let successor = group.start_member(&successor_connection, "w", "b");
    successor.wait_for_lines(1, |event| event.contains("\"joined\""));
    let leader = group.wait_for_leader(&group.replicas());
    let started_at = Instant::now();
    let before = writes_of(&owner).len();
    match fault {
        Fault::Terminate => owner.terminate(),
        Fault::Kill => owner.kill(),
        Fault::Suspend => owner.suspend(),
        Fault::Disconnect => owner_connection
            .links
            .iter()
            .for_each(milletturn_cluster_harness::LinkControl::cut),
        Fault::KillLeader => group.kill_replica(leader),
    }
    match fault {
        // waits for two more writes, since the first one may have been in flight at the fault
        Fault::KillLeader => wait_until("the owner writes again", || {
            writes_of(&owner).len() > before + 1
        }),
        _ => successor.wait_for_lines(1, |event| event.contains("\"acted\"")),
    }
    started_at.elapsed()
}

/// Measures the rate and latency of fenced writes of one owner, one after the other.
fn measure_write_rate() {
    let group = Cluster::start(PROGRAM, 3);
    let addresses = group.addresses();
    let results = run(async move {
        let (member, _events) = Member::new(member_info("a"), 20_000, ["w".to_string()]);
        let session_member = member.clone();
        let client = CoordinatorClient::new(GROUP_NAME, &addresses);
        tokio::task::spawn_local(async move { session_member.maintain_session(client, 1).await });
        while member.permission("w").is_none() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let mut writer = CoordinatorClient::new(GROUP_NAME, &addresses);
        let (started_at, mut done, mut latencies_ms) = (Instant::now(), 0, Vec::new());
        while started_at.elapsed() < MEASURED_TIME / 4 {
            let write_started_at = Instant::now();
            if let milletturn_member::WriteOutcome::Done { .. } =
                member.write_fenced(&mut writer, "w", "so far").await
            {
                done += 1;
                latencies_ms.push(write_started_at.elapsed().as_secs_f64() * 1e3);
            }
        }
        latencies_ms.sort_by(f64::total_cmp);
        (
            done as f64 / started_at.elapsed().as_secs_f64(),
            latencies_ms[latencies_ms.len() / 2],
            latencies_ms[latencies_ms.len() * 99 / 100],
        )
    });
    println!(
        "\nfenced writes of one owner, one after the other: {:.0} a second, p50 {:.1} ms, p99 {:.1} ms",
        results.0, results.1, results.2
    );
}

/// Measures processor time, memory and disk writes of the coordinators, without members and with members that send
/// heartbeats.
fn measure_heartbeat_cost() {
    let group = Cluster::start(PROGRAM, 3);
    let leader = group.wait_for_leader(&group.replicas());
    let addresses = group.addresses();
    println!(
        "\ncoordinators over {} s, the leader first",
        MEASURED_TIME.as_secs()
    );
    println!(
        "{:<28} {:>10} {:>10} {:>14}",
        "", "cores", "MB", "KB written"
    );
    let print_costs = |label: &str| {
        let mut replicas = group.replicas();
        replicas.sort_by_key(|replica| *replica != leader);
        let before: Vec<_> = replicas
            .iter()
            .map(|replica| resource_usage(group.replica(*replica)))
            .collect();
        std::thread::sleep(MEASURED_TIME);
        for (replica, before) in replicas.iter().zip(before) {
            let after = resource_usage(group.replica(*replica));
            let cores = (after.0 - before.0) / MEASURED_TIME.as_secs_f64();
            println!(
                "{label:<28} {cores:>10.3} {:>10.1} {:>14}",
                after.1,
                after.2 - before.2
            );
        }
    };
    print_costs("no member");
    let (stop_sender, stop) = std::sync::mpsc::channel::<()>();
    std::thread::scope(|scope| {
        scope.spawn(move || {
            run(async move {
                for number in 0..MEMBERS {
                    let (member, mut events) =
                        Member::new(member_info(&format!("n{number}")), 20_000, []);
                    let client = CoordinatorClient::new(GROUP_NAME, &addresses);
                    tokio::task::spawn_local(async move {
                        member.maintain_session(client, number as u64).await;
                    });
                    tokio::task::spawn_local(async move { while events.recv().await.is_some() {} });
                }
                while let Err(std::sync::mpsc::TryRecvError::Empty) = stop.try_recv() {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            });
        });
        wait_until("all members have joined", || {
            group
                .run_fleet_command(&group.replicas(), &["members"])
                .1
                .len()
                == MEMBERS
        });
        print_costs("300 members with heartbeats");
        drop(stop_sender);
    });
}

/// A member with this name and no other properties.
fn member_info(name: &str) -> MemberInfo {
    MemberInfo {
        name: name.to_string(),
        zone: String::new(),
        version: String::new(),
        role: String::new(),
    }
}

/// Runs a future to completion on a single-threaded runtime, with a local task set.
fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Seconds of processor time, MB of resident memory and KB written to the disk so far by a process, from proc(5).
fn resource_usage(process: &Process) -> (f64, f64, u64) {
    let read = |file: &str| {
        std::fs::read_to_string(format!("/proc/{}/{file}", process.id())).expect("the process runs")
    };
    let stat = read("stat");
    let fields: Vec<&str> = stat
        .rsplit(") ")
        .next()
        .expect("fields")
        .split(' ')
        .collect();
    // user and system time, in hundredths of a second
    let ticks: f64 = fields[11..13]
        .iter()
        .map(|ticks| ticks.parse::<f64>().expect("ticks"))
        .sum();
    let field = |text: &str, name: &str| -> u64 {
        let line = text
            .lines()
            .find(|line| line.starts_with(name))
            .expect("a field");
        line.split_whitespace()
            .nth(1)
            .and_then(|count| count.parse().ok())
            .expect("a number")
    };
    (
        ticks / 100.0,
        field(&read("status"), "VmRSS") as f64 / 1024.0,
        field(&read("io"), "write_bytes") / 1024,
    )
}
