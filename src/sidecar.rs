//! `milletturn sidecar`: runs a sender as a sidecar of an application, without the platform. `milletturn demo` also
//! starts one.

use crate::assemble::{
    FolderAccess, Running, SenderOptions, Signals, StoreOptions, assemble, block_on,
};
use crate::config::{findings_count_text, report};
use crate::format::Format;
use crate::operators;
use milletturn_admin::Metrics;
use milletturn_config::check_documents;
use milletturn_config::document::Document;
use milletturn_engine::EndpointListUpdate;
use milletturn_logging::log;
use milletturn_sidecar::callback::Callback;
use milletturn_sidecar::endpoints;
use milletturn_sidecar::environment;
use milletturn_sidecar::outcome_log::OutcomeLog;
use milletturn_sidecar::plan::Plan;
use milletturn_sidecar::shared_outcome_log::SharedOutcomeLog;
use std::error::Error;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Runs a sidecar until SIGTERM. A configuration with findings is reported as by `config check`, and nothing starts.
///
/// # Errors
/// If the configuration has findings, the sidecar can't start, or its engine fails.
pub(crate) fn run(path: &Path) -> Result<(), Box<dyn Error>> {
    block_on(run_sidecar(path))
}

async fn run_sidecar(path: &Path) -> Result<(), Box<dyn Error>> {
    let signals = Signals::new()?;
    let mut documents = check_documents(vec![Document::read(path)]);
    let valid_document = documents
        .first_mut()
        .filter(|document| document.findings.is_empty());
    // the lock of the state folder, held until the process ends
    let _lock = valid_document
        .and_then(|document| environment::check(document, environment::CheckMode::Start));
    let finding_count = report(&documents, Format::Text);
    let [document] = &documents[..] else {
        return Ok(());
    };
    if finding_count > 0 {
        return Err(format!(
            "{}: {}; nothing has been started",
            path.display(),
            findings_count_text(finding_count)
        )
        .into());
    }
    let (name, running) = start(document).await?;
    let path = path.to_path_buf();
    let metrics = running.metrics.clone();
    running
        .run_until_sigterm(signals, || reload(&name, &path, &metrics))
        .await
}

/// Starts a sidecar from a document without findings.
pub(crate) async fn start(document: &Document) -> Result<(String, Running), Box<dyn Error>> {
    let plan = Plan::from_document(document)?;
    let endpoints = initial_endpoints(&plan)?;
    std::fs::create_dir_all(&plan.state_folder)?;
    let mut outcomes = OutcomeLog::open(&plan.state_folder, plan.outcome_log_max_bytes)?;
    outcomes.limit_pending(plan.max_pending_outcome_bytes);
    let seed = random_seed();
    let name = plan.name.clone();
    let options = SenderOptions {
        name: plan.name,
        state_dir: plan.state_folder,
        listen_address: plan.ingress_address,
        settings: plan.settings,
        seed,
        zones: Vec::new(),
        kinds: plan.kinds,
        report_fields: Vec::new(),
        budget: plan.budget,
        journal_max_bytes: plan.journal_max_bytes,
        store: plan.dead_letter_store.map(|config| StoreOptions {
            config,
            max_total_bytes: plan.store_reserved_bytes,
        }),
        idle_timeout: plan.idle_timeout,
        connect_timeout: plan.connect_timeout,
        cached_endpoints: Some(endpoints),
        notify_delivered: true,
        first_message_number: outcomes.first_free_number(),
    };
    let mut running = assemble(options, FolderAccess::Configured).await?;
    let shared = SharedOutcomeLog::new(outcomes, running.inputs.clone());
    let listener = TcpListener::bind(plan.outcomes_address).await?;
    log(format_args!(
        "{name}: outcomes on {}",
        listener.local_addr()?
    ));
    tokio::task::spawn_local(shared.clone().serve(listener));
    if let Some(address) = plan.admin_address {
        operators::start_admin_listener(&name, address, &running).await?;
    }
    store_outcomes(shared, plan.callback, seed, &mut running);
    if let Some(file) = plan.endpoints_file {
        let inputs = running.inputs.clone();
        tokio::task::spawn_local(endpoints::watch(file, plan.fixed_endpoints, inputs));
    }
    running.serve_clients();
    Ok((name, running))
}

/// The endpoint list at the start: the fixed endpoints of the configuration, and those of the endpoints file, if any.
fn initial_endpoints(plan: &Plan) -> Result<EndpointListUpdate, Box<dyn Error>> {
    let mut endpoints = plan.fixed_endpoints.clone();
    if let Some(file) = &plan.endpoints_file {
        endpoints.extend(endpoints::read(file)?);
    }
    Ok(EndpointListUpdate {
        version: 1,
        full: true,
        endpoints,
    })
}

/// Records final outcomes of messages in the outcome log, and sends them to the callback if one is configured.
fn store_outcomes(
    shared: SharedOutcomeLog,
    callback: Option<Callback>,
    seed: u64,
    running: &mut Running,
) {
    let callback = callback.map(|callback| {
        let (sender, endings) = mpsc::unbounded_channel();
        tokio::task::spawn_local(callback.run(shared.clone(), seed, endings));
        (callback.class, sender)
    });
    if let Some(final_outcomes) = running.final_outcomes.take() {
        tokio::task::spawn_local(shared.record_endings(final_outcomes, callback));
    }
}

/// A seed for random numbers that differs between processes: the Unix time in nanoseconds.
fn random_seed() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_nanos() as u64
}

/// Checks the configuration file on SIGHUP and logs whether a start would accept it. The running sidecar keeps its
/// settings.
fn reload(name: &str, path: &Path, metrics: &Metrics) {
    let documents = check_documents(vec![Document::read(path)]);
    match report(&documents, Format::Text) {
        0 => log(format_args!(
            "{name}: SIGHUP, {} is sound; it takes effect at the next start",
            path.display()
        )),
        finding_count => {
            metrics.config_rejected.update(|count| count + 1);
            log(format_args!(
                "{name}: SIGHUP, {} would be rejected at a start ({}); nothing changed",
                path.display(),
                findings_count_text(finding_count)
            ));
        }
    }
}
