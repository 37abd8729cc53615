//! Starting and stopping an entry VM.

use crate::core::EntryCore;
use crate::core::StopPhase;
use crate::counts::counting::note_death;
use crate::counts::counting::run_merging;
use crate::counts::counting::run_sealing;
use crate::counts::counting::settle;
use crate::listeners::ListenerKind;
use crate::listeners::bind;
use crate::listeners::run_listener;
use crate::metrics::EntryMetrics;
use crate::nodes::catch_up::run_catch_up;
use crate::nodes::gossip::run_gossip;
use crate::nodes::gossip::tell_all;
use crate::replicas::notice::count_notices;
use crate::replicas::probe::run_probes;
use crate::replicas::quarantine::review;
use crate::replicas::rate_limit::share_limits;
use crate::request::ingress::RequestSource;
use crate::store::membership::run_membership;
use crate::store::quarantine_keys::run_key_reader;
use crate::store::quarantine_keys::run_key_writer;
use crate::store::store_return::run_returns;
use crate::store::watch::run_watch;
use crate::store::watch_topic::WatchTopic;
use crate::who::boot_clock::BootClock;
use crate::who::proofs::run_prover;
use rand::RngExt;
use std::net::SocketAddrV4;
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

/// Pause between rounds of the tables.
const TICK_TIME: Duration = Duration::from_millis(200);
/// Time between saying that this node leaves and taking no more requests: callers keep what the
/// directory told them for two seconds.
const LEAVE_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace time until which a node takes requests where it is alone; a plain request ends well
/// within the rest.
const ALONE_PART: f64 = 0.7;
/// Part of the grace time that is left for the way out.
const EXIT_TIME: Duration = Duration::from_millis(400);
/// Pause between looks whether all requests have ended.
const DRAIN_LOOK: Duration = Duration::from_millis(50);
/// Time to hand over the last counts.
const SETTLE_TIME: Duration = Duration::from_millis(250);
/// Time for the last datagrams.
const FAREWELL_TIME: Duration = Duration::from_millis(100);

/// Why an entry VM did not start or stopped.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address cannot be used.
    #[error("[listen] {key} = {address}: {error}; choose a free address of this machine")]
    Listen {
        /// The key of the settings.
        key: &'static str,
        /// The address.
        address: SocketAddrV4,
        /// What the system says.
        error: std::io::Error,
    },
    /// The process cannot be set up.
    #[error("{0}")]
    Setup(Box<str>),
}

fn setup(error: impl ToString) -> EntryError {
    EntryError::Setup(error.to_string().into())
}

/// Runs an entry VM until it is told to stop.
///
/// `reread` gives the settings file's text at a signal that it changed.
///
/// # Errors
///
/// Says why it did not start.
pub fn run_entry(
    settings: EntrySettings,
    reread: impl Fn() -> Result<EntrySettings, String>,
) -> Result<(), EntryError> {
    // One thread: a machine has a part of one core, and a second thread would cost memory.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(setup)?;
    // Before anything answers: whoever can reach this node may tell it to stop, and it would end without leaving.
    let signals = {
        let _guard = runtime.enter();
        EntrySignals::install().map_err(setup)?
    };
    LocalSet::new().block_on(&runtime, serve(settings, signals, reread))
}

/// The signals that an entry VM heeds.
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
}

async fn serve(
    settings: EntrySettings,
    signals: EntrySignals,
    reread: impl Fn() -> Result<EntrySettings, String>,
) -> Result<(), EntryError> {
    let metrics = EntryMetrics::new().map_err(setup)?;
    let clock = BootClock::new(rand::random()).map_err(setup)?;
    let core = Rc::new(EntryCore::new(
        settings,
        rand::rng().random(),
        metrics,
        clock,
    ));
    let listen = core.settings.listen.clone();
    let duties = [
        (
            "front",
            listen.front,
            ListenerKind::Calls(RequestSource::Front),
        ),
        (
            "peer",
            listen.peer,
            ListenerKind::Calls(RequestSource::Peer),
        ),
        ("directory", listen.directory, ListenerKind::Directory),
        ("readiness", listen.readiness, ListenerKind::Readiness),
        ("control", listen.control, ListenerKind::Control),
    ];
    for (key, address, duty) in duties {
        let listener = bind(address).map_err(|error| EntryError::Listen {
            key,
            address,
            error,
        })?;
        tokio::task::spawn_local(run_listener(Rc::clone(&core), listener, duty));
    }
    let socket = UdpSocket::bind(std::net::SocketAddr::from(listen.peer))
        .await
        .map_err(|error| EntryError::Listen {
            key: "peer",
            address: listen.peer,
            error,
        })?;
    core.log.write(
        "start",
        serde_json::json!({"region": core.settings.region, "front": listen.front.to_string(),
            "incarnation": core.incarnation}),
    );
    tokio::task::spawn_local(run_gossip(Rc::clone(&core), socket));
    for topic in WatchTopic::ALL {
        tokio::task::spawn_local(run_watch(Rc::clone(&core), topic));
    }
    tokio::task::spawn_local(run_catch_up(Rc::clone(&core)));
    tokio::task::spawn_local(run_membership(Rc::clone(&core)));
    tokio::task::spawn_local(run_key_reader(Rc::clone(&core)));
    tokio::task::spawn_local(run_key_writer(Rc::clone(&core)));
    tokio::task::spawn_local(run_probes(Rc::clone(&core)));
    tokio::task::spawn_local(run_prover(Rc::clone(&core)));
    tokio::task::spawn_local(run_returns(Rc::clone(&core)));
    tokio::task::spawn_local(run_ticks(Rc::clone(&core)));
    tokio::task::spawn_local(run_sealing(Rc::clone(&core)));
    tokio::task::spawn_local(run_merging(Rc::clone(&core)));
    wait_for_stop(&core, signals, reread).await;
    leave(&core).await;
    Ok(())
}

/// Runs the tables' rounds.
async fn run_ticks(core: Rc<EntryCore>) {
    let mut ticks = interval(TICK_TIME);
    loop {
        ticks.tick().await;
        let now = Instant::now();
        let dropped = core.replicas.borrow_mut().tick(now);
        for replica in dropped {
            core.cold_limiter.borrow_mut().forget(&replica);
            core.log
                .write("replica-dropped", serde_json::json!({"replica": replica}));
        }
        let forgotten = core.members.borrow_mut().tick(now);
        for card in forgotten {
            // Other regions ask only a few nodes here, and others when they please: silence of a node
            // there says nothing of its death, and its own region names the gap.
            if card.region != core.settings.region {
                continue;
            }
            core.log
                .write("member-gone", serde_json::json!({"member": card.node}));
            note_death(&core, &card.node, card.incarnation);
        }
        core.pool.evict_idle(now);
        share_limits(&core, now);
        count_notices(&core);
        core.suspects.borrow_mut().tick(now);
        core.quotas.borrow_mut().tick(now);
        review(&core, now);
    }
}

async fn wait_for_stop(
    core: &Rc<EntryCore>,
    mut signals: EntrySignals,
    reread: impl Fn() -> Result<EntrySettings, String>,
) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hangup.recv() => {
                let outcome = match reread() {
                    Ok(settings) if settings == core.settings => "unchanged".to_owned(),
                    Ok(_) => "changed; it counts from the next start".to_owned(),
                    Err(error) => format!("rejected: {error}"),
                };
                core.log.write("reload", serde_json::json!({"outcome": outcome}));
            }
        }
    }
}

/// Goes on taking what ends soon while no other node of the region is ready.
///
/// Where all nodes of a region are stopped in turn, each ends its streams for seconds and nobody is left
/// for new callers: of seven nodes stopped one second apart, half of the look-ups found nobody.
async fn serve_alone(core: &EntryCore, began: Instant) {
    core.phase.send_replace(StopPhase::PlainOnly);
    let last = began + core.settings.bounds.grace.mul_f64(ALONE_PART);
    while Instant::now() < last {
        if has_ready_neighbour(core) {
            return;
        }
        sleep(DRAIN_LOOK).await;
    }
}

fn has_ready_neighbour(core: &EntryCore) -> bool {
    let members = core.members.borrow();
    let ready = members.live_in(&core.settings.region, Instant::now());
    !ready.is_empty()
}

/// Leaves: says so, serves whoever still comes, then ends what is in progress.
async fn leave(core: &Rc<EntryCore>) {
    let began = Instant::now();
    let last = began + core.settings.bounds.grace.saturating_sub(EXIT_TIME);
    core.log.write(
        "stop",
        serde_json::json!({"open_calls": core.in_flight_count.get()}),
    );
    core.phase.send_replace(StopPhase::Leaving);
    if let Ok(socket) = UdpSocket::bind("0.0.0.0:0").await {
        // The nodes would also notice by themselves, a moment later.
        let _ = timeout(FAREWELL_TIME, tell_all(core, &socket)).await;
    }
    sleep(LEAVE_TIME.min(core.settings.bounds.grace / 3)).await;
    serve_alone(core, began).await;
    core.phase.send_replace(StopPhase::Closing);
    sleep(DRAIN_LOOK * 2).await;
    while core.in_flight_count.get() > 0 && Instant::now() < last {
        sleep(DRAIN_LOOK).await;
    }
    // What cannot be handed over in time is named as a gap in the report.
    let _ = timeout(SETTLE_TIME, settle(core)).await;
    core.log.write(
        "stopped",
        serde_json::json!({"open_calls": core.in_flight_count.get(),
            "took_ms": began.elapsed().as_millis() as u64}),
    );
    sleep(DRAIN_LOOK).await;
}
