//! Start of the daemon.

use crate::clock::epoch_millis;
use crate::counts;
use crate::counts::CountMerger;
use crate::directory;
use crate::lingering::LingerSlots;
use crate::lingering::LingeringAcceptor;
use crate::listen::open_sockets;
use crate::load_polls;
use crate::logging;
use crate::orders;
use crate::settings::DaemonSettings;
use crate::settings::SettingsError;
use crate::settings::SettingsFile;
use crate::shutdown;
use crate::signals::NodeSignals;
use crate::tasks::spawn_restarted;
use crate::ticks;
use crate::transport;
use crate::transport::PeerTransport;
use crate::watch;
use log::info;
use rand::RngExt;
use salvo::Server;
use std::sync::Arc;
use thiserror::Error;
use zinniahatch_base::prelude::*;
use zinniahatch_config::NodeSettings;
use zinniahatch_config::RouteRule;
use zinniahatch_control::ControlNode;
use zinniahatch_control::FailurePolicy;
use zinniahatch_control::NodeIdentity;
use zinniahatch_control::RoutePolicy;
use zinniahatch_entry::HeldHangup;
use zinniahatch_entry::run_entry;
use zinniahatch_gateway::GatewayCore;
use zinniahatch_gateway::GatewayParts;
use zinniahatch_gateway::build_service;
use zinniahatch_platform::KvClient;
use zinniahatch_protocol::FrameCodec;

/// Worker threads of the runtime; an entry VM is small.
const WORKER_THREADS: usize = 2;
/// Idle time-out of a connection, and time-out for the headers of a request.
///
/// It is longer than common HTTP clients keep an idle connection, so that no client sends a request
/// on a connection that is being closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Why the daemon did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// There are no settings, or invalid ones.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A file or an address cannot be used.
    #[error("{0}")]
    Resource(String),
}

/// Runs the daemon until it receives SIGTERM or SIGINT.
///
/// # Errors
///
/// If the settings are invalid or a resource that the daemon needs cannot be used.
pub fn run_daemon(hangup: HeldHangup, file: Option<String>, check: bool) -> Result<(), StartError> {
    let file = SettingsFile::find(file)?;
    if check {
        file.read()?;
        println!("{}: the settings are right", file.path());
        return Ok(());
    }
    match file.read_placed()? {
        DaemonSettings::Entry(settings) => run_entry(settings, hangup, || {
            file.read_entry().map_err(|error| error.to_string())
        })
        .map_err(|error| StartError::Resource(format!("{}: {error}", file.path()))),
        DaemonSettings::Node(settings) => run_node(settings, hangup, &file),
    }
}

/// Runs a node of the first interface.
fn run_node(
    settings: NodeSettings,
    hangup: HeldHangup,
    file: &SettingsFile,
) -> Result<(), StartError> {
    let _log_guard = logging::start(&settings.log_level, &settings.log_file)
        .map_err(|error| StartError::Resource(format!("{}: {error}", file.path())))?;
    info!("starting as process {}", std::process::id());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(resource_error)?;
    let signals = {
        let _guard = runtime.enter();
        NodeSignals::install().map_err(resource_error)?
    };
    hangup.release().map_err(resource_error)?;
    runtime.block_on(serve(settings, signals, || {
        file.read_node().map_err(|error| error.to_string())
    }))
}

fn resource_error(error: impl ToString) -> StartError {
    StartError::Resource(error.to_string())
}

async fn serve(
    settings: NodeSettings,
    mut signals: NodeSignals,
    load_settings: impl Fn() -> Result<NodeSettings, String>,
) -> Result<(), StartError> {
    let sockets = tokio::select! {
        opened = open_sockets(&settings) => opened.map_err(StartError::Resource)?,
        signal = signals.stop() => {
            info!("{signal} received before any address was open");
            return Ok(());
        }
    };
    let core = build_core(settings, Instant::now());
    core.counters.listen_retries.inc_by(sockets.retries);
    let codec = FrameCodec::new(&core.settings.secret);
    tokio::spawn(transport::receive(
        Arc::clone(&core),
        codec.clone(),
        sockets.frames,
    ));
    let merger = Arc::new(CountMerger::default());
    let counts_merger = Arc::clone(&merger);
    spawn_restarted(&core, "ticks", move |core| {
        let transport = PeerTransport::new(codec.clone());
        ticks::run(core, transport, Arc::clone(&counts_merger))
    });
    spawn_restarted(&core, "directory", directory::run_directory);
    spawn_restarted(&core, "start-serving", watch::start_serving);
    spawn_restarted(&core, "watch", watch::run);
    spawn_restarted(&core, "vm-list", directory::run_vm_list);
    spawn_restarted(&core, "load-polls", load_polls::run);
    spawn_restarted(&core, "orders", orders::run);
    let counts_merger = Arc::clone(&merger);
    spawn_restarted(&core, "sealing", move |core| {
        counts::run_sealing(core, Arc::clone(&counts_merger))
    });
    let counts_merger = Arc::clone(&merger);
    spawn_restarted(&core, "merging", move |core| {
        counts::run_merging(core, Arc::clone(&counts_merger))
    });
    spawn_restarted(&core, "retention", counts::run_retention);
    // The request path has its own limits for slow senders; those of the server would be checked for
    // every streamed event.
    let slots = LingerSlots::default();
    let acceptor = LingeringAcceptor::new(sockets.acceptor, slots.clone());
    let mut server = Server::new(acceptor).disable_fuse();
    server
        .http1_mut()
        .header_read_timeout(IDLE_TIMEOUT)
        .max_headers(100);
    let handle = server.handle();
    let serving = tokio::spawn(server.serve(build_service(&core)));
    let signal = signals
        .stop_checking_settings(&core.settings, load_settings)
        .await;
    info!("{signal} received");
    shutdown::shut_down(&core, &merger).await;
    handle.stop_graceful(Some(Duration::from_secs(1)));
    let _ = serving.await;
    slots.wait_free().await;
    Ok(())
}

fn build_core(settings: NodeSettings, now: Instant) -> Arc<GatewayCore> {
    let mut rng = rand::rng();
    let identity = NodeIdentity {
        node: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        incarnation: rng.random(),
        peer: settings.peer_listen.clone(),
        http: settings.listen.clone(),
        epoch: epoch_millis(),
    };
    let policy = match settings.route {
        RouteRule::Score => RoutePolicy::Score,
        RouteRule::Home => RoutePolicy::AlwaysHome,
        RouteRule::LeastLoaded => RoutePolicy::LeastLoaded,
        RouteRule::RandomTwo => RoutePolicy::RandomTwo,
    };
    let control = ControlNode::new(
        identity,
        &settings.seeds,
        now,
        FailurePolicy::MajorityReports,
        policy,
    );
    let store = KvClient::new(&settings.store);
    GatewayCore::new(
        GatewayParts {
            settings,
            control,
            store,
            key_secret: rng.random(),
        },
        now,
    )
}
