//! Start and shutdown of an entry VM.

use crate::auth::boot_clock::BootClock;
use crate::auth::proofs::run_freshness_prover;
use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::counts::counting::flush_counts;
use crate::counts::counting::record_node_failure;
use crate::counts::counting::run_merging;
use crate::counts::counting::run_sealing;
use crate::decision_log::DecisionLog;
use crate::held_hangup::HeldHangup;
use crate::listeners::ListenError;
use crate::listeners::open_sockets;
use crate::listeners::run_listener;
use crate::metrics::EntryMetrics;
use crate::nodes::catch_up::run_catch_up;
use crate::nodes::gossip::announce_leaving;
use crate::nodes::gossip::run_gossip;
use crate::nodes::link_watch::LinkWatch;
use crate::nodes::stream_origins::update_versions;
use crate::replicas::notice::update_notice_gauges;
use crate::replicas::part_quarantine::publish_part_changes;
use crate::replicas::probe::run_probes;
use crate::replicas::quarantine::publish_quarantine_changes;
use crate::replicas::rate_limit::update_limit_sharers;
use crate::replicas::warmth_checks::run_warmth_checks;
use crate::store::quarantine_keys::run_quarantine_reader;
use crate::store::quarantine_keys::run_quarantine_writer;
use crate::store::registration::run_registration;
use crate::store::restore_recovery::run_restore_recovery;
use crate::store::stream_records::run_stream_recorder;
use crate::store::version_keys::run_version_keeper;
use crate::store::watch::run_watch;
use crate::store::watch_topic::WatchTopic;
use rand::RngExt;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;
use zinniahatch_base::prelude::*;
use zinniahatch_config::EntrySettings;

/// Interval between maintenance rounds of the tables.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between announcing that this node leaves and refusing new requests: callers keep directory
/// answers for two seconds.
const LEAVE_PERIOD: Duration = Duration::from_millis(2_600);
/// Fraction of the grace period during which the only remaining node keeps accepting requests; a
/// plain request ends well within the rest.
const LAST_NODE_FRACTION: f64 = 0.7;
/// Time of the grace period that is reserved for the final steps.
const EXIT_RESERVE: Duration = Duration::from_millis(400);
/// Time of the grace period before that in which no new connections are accepted, so that those which
/// are open can be answered.
const DISCONNECT_RESERVE: Duration = Duration::from_millis(600);
/// Interval between checks whether all requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for sending the last usage counts.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for the last datagrams.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(100);

/// Error that kept an entry VM from starting.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A listen address cannot be used.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The process cannot be set up.
    #[error("{0}")]
    Setup(Box<str>),
}

fn setup_error(error: impl ToString) -> EntryError {
    EntryError::Setup(error.to_string().into())
}

/// Runs an entry VM until it receives a stop signal.
///
/// `load_settings` reads the settings again when a signal reports a change; one that was held since before
/// they were read first counts.
///
/// # Errors
///
/// Returns why the entry VM did not start.
pub fn run_entry(
    settings: EntrySettings,
    hangup: HeldHangup,
    load_settings: impl Fn() -> Result<EntrySettings, String>,
) -> Result<(), EntryError> {
    // Single-threaded, since a VM has only part of a core and a second thread would cost memory.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(setup_error)?;
    // Installed before any listener answers: a stop signal that arrives earlier would end the
    // process without a shutdown.
    let signals = {
        let _guard = runtime.enter();
        EntrySignals::install().map_err(setup_error)?
    };
    hangup.release().map_err(setup_error)?;
    LocalSet::new().block_on(&runtime, serve(settings, signals, load_settings))
}

/// Signals that an entry VM handles.
struct EntrySignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl EntrySignals {
    fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a signal to stop and returns its name.
    async fn stop(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
}

async fn serve(
    settings: EntrySettings,
    mut signals: EntrySignals,
    load_settings: impl Fn() -> Result<EntrySettings, String>,
) -> Result<(), EntryError> {
    let metrics = EntryMetrics::new().map_err(setup_error)?;
    let log = DecisionLog::new(settings.name.clone(), settings.log_rate_limit);
    log.take_panics();
    log.write(
        "starting",
        serde_json::json!({"process": std::process::id()}),
    );
    let sockets = tokio::select! {
        opened = open_sockets(&settings, &log, &metrics.process) => opened?,
        signal = signals.stop() => {
            log.write("stopped", serde_json::json!({"open_calls": 0, "signal": signal}));
            return Ok(());
        }
    };
    // Created once the node can be reached, since its tables count the time for which they have heard
    // others.
    let clock = BootClock::new(rand::random()).map_err(setup_error)?;
    let core = Rc::new(EntryCore::new(
        settings,
        rand::rng().random(),
        log,
        metrics,
        clock,
    ));
    for (listener, kind) in sockets.listeners {
        let listener = Rc::new(listener);
        core.spawn_restarted("listener", move |core| {
            run_listener(core, Rc::clone(&listener), kind)
        });
    }
    let socket = Rc::new(sockets.datagrams);
    let _ = core.peer_socket.set(Rc::clone(&socket));
    core.log.write(
        "start",
        serde_json::json!({"region": core.settings.region, "front": core.settings.listen.front.to_string(),
            "incarnation": core.incarnation}),
    );
    core.spawn_restarted("gossip", move |core| run_gossip(core, Rc::clone(&socket)));
    for topic in WatchTopic::ALL {
        core.spawn_restarted("watch", move |core| run_watch(core, topic));
    }
    core.spawn_restarted("catch-up", run_catch_up);
    core.spawn_restarted("registration", run_registration);
    core.spawn_restarted("quarantine-reader", run_quarantine_reader);
    core.spawn_restarted("quarantine-writer", run_quarantine_writer);
    core.spawn_restarted("version-keeper", run_version_keeper);
    core.spawn_restarted("stream-recorder", run_stream_recorder);
    core.spawn_restarted("probes", run_probes);
    core.spawn_restarted("warmth-checks", run_warmth_checks);
    core.spawn_restarted("freshness-prover", run_freshness_prover);
    core.spawn_restarted("restore-recovery", run_restore_recovery);
    core.spawn_restarted("maintenance", run_maintenance);
    core.spawn_restarted("sealing", run_sealing);
    core.spawn_restarted("merging", run_merging);
    let signal = wait_for_stop(&core, signals, load_settings).await;
    shut_down(&core, signal).await;
    Ok(())
}

/// Runs the periodic maintenance of the tables.
async fn run_maintenance(core: Rc<EntryCore>) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    let mut link = LinkWatch::default();
    loop {
        ticks.tick().await;
        let now = Instant::now();
        link.tick(&core, now);
        let dropped = core.replicas.borrow_mut().tick(now);
        for replica in dropped {
            core.cold_limiter.borrow_mut().forget(&replica);
            core.log
                .write("replica-dropped", serde_json::json!({"replica": replica}));
        }
        core.region_paths.borrow_mut().tick(now);
        let forgotten = core.members.borrow_mut().tick(now);
        for member in forgotten {
            // Nodes of other regions send heartbeats to only some nodes here, and at irregular
            // times, so their silence does not indicate death; their own region records the gap.
            if member.region != core.settings.region {
                continue;
            }
            core.log
                .write("member-gone", serde_json::json!({"member": member.node}));
            record_node_failure(&core, &member.node, member.incarnation);
        }
        core.pool.evict_idle(now);
        core.answer_times
            .borrow_mut()
            .retain(|_, times| times.is_recent(now));
        update_limit_sharers(&core, now);
        update_notice_gauges(&core);
        core.suspects.borrow_mut().tick(now);
        core.quotas.borrow_mut().tick(now);
        update_versions(&core, now);
        if core.part_suspects.borrow_mut().tick(now) {
            core.work_changed.notify_one();
        }
        publish_quarantine_changes(&core, now);
        publish_part_changes(&core, now);
    }
}

/// Handles signals until one asks the process to stop, and returns its name.
async fn wait_for_stop(
    core: &Rc<EntryCore>,
    mut signals: EntrySignals,
    load_settings: impl Fn() -> Result<EntrySettings, String>,
) -> &'static str {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return "SIGTERM",
            _ = signals.interrupt.recv() => return "SIGINT",
            _ = signals.hangup.recv() => {
                let outcome = match load_settings() {
                    Ok(settings) if settings == core.settings => "unchanged".to_owned(),
                    Ok(_) => "changed; takes effect at the next start".to_owned(),
                    Err(error) => format!("rejected: {error}")
                };
                core.log.write("reload", serde_json::json!({"outcome": outcome}));
            }
        }
    }
}

/// Keeps accepting requests that end soon while no other node of the region is ready.
///
/// When all nodes of a region are stopped in turn, each spends seconds on ending its streams and no
/// node is left for new callers: with seven nodes stopped one second apart, half of the directory
/// look-ups returned no node.
async fn serve_as_last_node(core: &EntryCore, began: Instant) {
    core.phase.send_replace(StopPhase::PlainOnly);
    if has_ready_peer(core) {
        return;
    }
    log_connections(core, "last-node", began);
    let deadline = began + core.settings.bounds.grace.mul_f64(LAST_NODE_FRACTION);
    while Instant::now() < deadline {
        if has_ready_peer(core) {
            return;
        }
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

fn has_ready_peer(core: &EntryCore) -> bool {
    let members = core.members.borrow();
    let ready = members.live_in(&core.settings.region, Instant::now());
    !ready.is_empty()
}

/// Shuts down: announces that this node is leaving, serves callers that still arrive, then ends the
/// requests in progress.
async fn shut_down(core: &Rc<EntryCore>, signal: &'static str) {
    let began = Instant::now();
    let deadline = began + core.settings.bounds.grace.saturating_sub(EXIT_RESERVE);
    core.log.write(
        "stop",
        serde_json::json!({"open_calls": core.in_flight_count.get(), "signal": signal}),
    );
    core.answers_due.set(Some(deadline));
    core.phase.send_replace(StopPhase::Leaving);
    if let Ok(socket) = UdpSocket::bind("0.0.0.0:0").await {
        // Without the announcement the other nodes would detect it a moment later.
        let _ = timeout(ANNOUNCE_TIMEOUT, announce_leaving(core, &socket)).await;
    }
    sleep(LEAVE_PERIOD.min(core.settings.bounds.grace / 3)).await;
    serve_as_last_node(core, began).await;
    core.phase.send_replace(StopPhase::Closing);
    sleep(DRAIN_CHECK_INTERVAL * 2).await;
    let is_busy = || core.in_flight_count.get() > 0 || core.connections.sending() > 0;
    let listen_deadline = deadline.checked_sub(DISCONNECT_RESERVE).unwrap_or(began);
    while is_busy() && Instant::now() < listen_deadline {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    log_connections(core, "disconnecting", began);
    core.phase.send_replace(StopPhase::Disconnecting);
    sleep(DRAIN_CHECK_INTERVAL).await;
    // A caller that reads slowly gets its answer to the end, and one that sends slowly its refusal.
    while (is_busy() || !core.connections.is_empty()) && Instant::now() < deadline {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    core.phase.send_replace(StopPhase::Ending);
    // Counts that cannot be sent in time appear as a gap in the report.
    let _ = timeout(FLUSH_TIMEOUT, flush_counts(core)).await;
    log_connections(core, "stopped", began);
    sleep(DRAIN_CHECK_INTERVAL).await;
}

/// Logs what is open at a step of the stop that began at a time.
fn log_connections(core: &EntryCore, kind: &'static str, began: Instant) {
    core.log.write(
        kind,
        serde_json::json!({"open_calls": core.in_flight_count.get(),
            "unsent_answers": core.connections.unanswered(),
            "connections": core.connections.stages(),
            "took_ms": began.elapsed().as_millis() as u64}),
    );
}
