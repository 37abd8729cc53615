//! Datagrams between nodes: who lives, what each region can take, and who has work where.

use crate::core::EntryCore;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use zinniahatch_base::prelude::*;
use zinniahatch_route::MemberCard;
use zinniahatch_route::OpenWork;
use zinniahatch_route::PromptRead;

/// Pause between datagrams to the nodes of the own region, before it grows with their number.
/// A long prompt is read in about 60 ms, and what others send should be known before that.
const NEAR_PAUSE: Duration = Duration::from_millis(60);
/// Pause added for each node of the region, so that a large one costs no more processor time.
const NEAR_PAUSE_EACH: Duration = Duration::from_millis(8);
/// Pause between datagrams to all other nodes; three are lost before a node counts as silent.
const FAR_PAUSE: Duration = Duration::from_millis(500);
/// Largest datagram that is read.
const LARGEST: usize = 8 << 10;
/// Other nodes named in a datagram, so that a fresh node finds all from one.
const MOST_HINTS: usize = 3;

/// A datagram.
#[derive(Debug, Serialize, Deserialize)]
struct NodeGram {
    /// Who sends.
    card: MemberCard,
    /// Its open work, by replica; only for nodes of its own region.
    work: Vec<WorkNote>,
    /// Shared prompt parts that it had read since its last datagram to these nodes.
    reads: Vec<PromptRead>,
    /// Its clock, to measure the way there and back.
    stamp: u64,
    /// The receiver's last clock and how long it was held.
    echo: Option<(u64, u64)>,
    /// Where some other nodes listen.
    hints: Vec<SocketAddrV4>,
}

/// Open work at one replica.
#[derive(Debug, Serialize, Deserialize)]
struct WorkNote {
    replica: ReplicaId,
    requests: u32,
    tokens: u32,
    urgent_tokens: u32,
}

/// The last clock heard of each node, and when.
type EchoTable = BTreeMap<NodeId, (u64, Instant)>;

/// Sends and receives until the process ends.
pub(crate) async fn run_gossip(core: Rc<EntryCore>, socket: UdpSocket) {
    let start = Instant::now();
    let mut echoes = EchoTable::new();
    let mut near = interval(NEAR_PAUSE);
    let mut far = interval(FAR_PAUSE);
    near.set_missed_tick_behavior(MissedTickBehavior::Delay);
    far.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; LARGEST];
    let mut idle_rounds = 0_u32;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, _)) = received {
                    hear(&core, &mut echoes, &buffer[..length], start);
                }
            }
            _ = near.tick() => {
                let count = core.members.borrow().names_in(&core.settings.region).len();
                let each = NEAR_PAUSE + NEAR_PAUSE_EACH * u32::try_from(count).unwrap_or(0);
                if near.period() != each {
                    near = interval(each);
                    near.set_missed_tick_behavior(MissedTickBehavior::Delay);
                    near.reset();
                }
                // Without work there is little to tell; then a few a second are enough.
                idle_rounds += 1;
                if core.open_calls.get() > 0 || idle_rounds >= 5 {
                    idle_rounds = 0;
                    tell(&core, &socket, &echoes, start, true).await;
                }
            }
            _ = far.tick() => tell(&core, &socket, &echoes, start, false).await,
        }
    }
}

/// Tells the nodes at once that this one leaves.
pub(crate) async fn tell_all(core: &Rc<EntryCore>, socket: &UdpSocket) {
    let start = Instant::now();
    tell(core, socket, &EchoTable::new(), start, false).await;
    tell(core, socket, &EchoTable::new(), start, true).await;
}

async fn tell(
    core: &Rc<EntryCore>,
    socket: &UdpSocket,
    echoes: &EchoTable,
    start: Instant,
    near: bool,
) {
    let now = Instant::now();
    let mut gram = NodeGram {
        card: core.card(now),
        work: if near { own_work(core) } else { Vec::new() },
        reads: if near {
            core.replicas.borrow_mut().take_reads()
        } else {
            Vec::new()
        },
        stamp: now.saturating_duration_since(start).as_micros() as u64,
        echo: None,
        hints: hints(core),
    };
    for (node, address) in receivers(core, near) {
        gram.echo = node
            .and_then(|node| echoes.get(&node))
            .map(|(stamp, at)| (*stamp, at.elapsed().as_micros() as u64));
        let Ok(bytes) = postcard::to_allocvec(&gram) else {
            return;
        };
        // A datagram that cannot be sent is as good as lost; the next one follows.
        let _ = socket.send_to(&bytes, address).await;
    }
}

fn own_work(core: &EntryCore) -> Vec<WorkNote> {
    let replicas = core.replicas.borrow();
    replicas
        .rows()
        .filter(|belief| belief.own.requests > 0)
        .map(|belief| WorkNote {
            replica: belief.entry.id.clone(),
            requests: belief.own.requests,
            tokens: belief.own.tokens,
            urgent_tokens: belief.own.urgent_tokens,
        })
        .collect()
}

fn hints(core: &EntryCore) -> Vec<SocketAddrV4> {
    let members = core.members.borrow();
    let known: Vec<SocketAddrV4> = members.known().map(|card| card.peer).collect();
    known
        .sample(&mut rand::rng(), MOST_HINTS)
        .copied()
        .collect()
}

/// Gives whom to tell: the own region's nodes often, everybody and mere addresses seldom.
fn receivers(core: &EntryCore, near: bool) -> Vec<(Option<NodeId>, SocketAddrV4)> {
    let own = core.settings.listen.peer;
    let members = core.members.borrow();
    let mut found: Vec<(Option<NodeId>, SocketAddrV4)> = members
        .known()
        .filter(|card| (card.region == core.settings.region) == near)
        .map(|card| (Some(card.node.clone()), card.peer))
        .collect();
    if near {
        return found;
    }
    let known: BTreeSet<SocketAddrV4> = members.known().map(|card| card.peer).collect();
    let mut contacts = core.contacts.borrow().clone();
    for seed in &core.settings.seeds {
        contacts.insert(SocketAddrV4::new(*seed.ip(), own.port()));
    }
    for contact in contacts {
        if contact != own && !known.contains(&contact) {
            found.push((None, contact));
        }
    }
    found
}

fn hear(core: &EntryCore, echoes: &mut EchoTable, bytes: &[u8], start: Instant) {
    let Ok(gram) = postcard::from_bytes::<NodeGram>(bytes) else {
        core.log.write(
            "datagram-rejected",
            serde_json::json!({"bytes": bytes.len()}),
        );
        return;
    };
    let node = gram.card.node.clone();
    if node == core.settings.name {
        return;
    }
    let now = Instant::now();
    echoes.insert(node.clone(), (gram.stamp, now));
    let region = gram.card.region.clone();
    let ready = gram.card.ready;
    let fresh = core.members.borrow_mut().hear(gram.card, now);
    if fresh {
        core.log.write(
            "member",
            serde_json::json!({"member": node, "region": region, "ready": ready}),
        );
    }
    if let Some((stamp, held)) = gram.echo {
        let passed = now.saturating_duration_since(start).as_micros() as u64;
        let trip = passed.saturating_sub(stamp).saturating_sub(held);
        core.members
            .borrow_mut()
            .note_trip(&node, Duration::from_micros(trip));
    }
    {
        let mut contacts = core.contacts.borrow_mut();
        contacts.extend(gram.hints);
    }
    if region != core.settings.region {
        return;
    }
    let mut replicas = core.replicas.borrow_mut();
    replicas.note_reads(&gram.reads, |service| {
        core.service(service).map_or(0, |spec| spec.kv_tokens)
    });
    let mut told: BTreeMap<ReplicaId, OpenWork> = BTreeMap::new();
    for note in gram.work {
        let work = OpenWork {
            requests: note.requests,
            tokens: note.tokens,
            urgent_tokens: note.urgent_tokens,
        };
        told.insert(note.replica, work);
    }
    for belief in replicas.rows_mut() {
        match told.get(&belief.entry.id) {
            Some(work) => {
                belief.peers.insert(node.clone(), (*work, now));
            }
            None => {
                belief.peers.remove(&node);
            }
        }
    }
}
