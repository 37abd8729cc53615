//! Datagrams between nodes: who lives, what each region can take, and who has work where.

use crate::accounts::note_death;
use crate::core::ACQUAINT_TIME;
use crate::core::EntryCore;
use crate::news::take_replica_news;
use crate::replica_news::ReplicaNews;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use zinniahatch_base::prelude::*;
use zinniahatch_route::MemberCard;
use zinniahatch_route::OpenWork;
use zinniahatch_route::PromptRead;

/// Pause between work datagrams to the nodes of the own region, before it grows with their
/// number. A prompt is read in about 60 ms, and what others send should be known before that.
const NEAR_PAUSE: Duration = Duration::from_millis(50);
/// Pause added for each node of the region, so that a large one costs no more processor time.
const NEAR_PAUSE_EACH: Duration = Duration::from_millis(2);
/// Pause between cards; three are lost before a node counts as silent.
const CARD_PAUSE: Duration = Duration::from_millis(500);
/// Pause between cards while a node gets to know the others. Until it heard of one in another region it
/// turned away what its own could not serve.
const START_PAUSE: Duration = Duration::from_millis(100);
/// Largest datagram that is read.
const LARGEST: usize = 8 << 10;
/// News in a datagram at most: about 60 bytes each, within one packet.
const MOST_NEWS: usize = 16;
/// Other nodes named in a datagram, so that a fresh node finds all from one.
const MOST_HINTS: usize = 3;

/// A datagram.
#[derive(Debug, Serialize, Deserialize)]
enum NodeGram {
    /// Who a node is and what its region can take.
    Card(CardGram),
    /// What a node of the region has open and had read.
    Work(WorkGram),
    /// What a node of the region read of replicas in the store.
    News(ReplicaNews),
}

/// Who a node is.
#[derive(Debug, Serialize, Deserialize)]
struct CardGram {
    /// Who sends.
    card: MemberCard,
    /// Its clock, to measure the way there and back.
    stamp: u64,
    /// The receiver's last clock and how long it was held.
    echo: Option<(u64, u64)>,
    /// Whether the receiver should send its own card back.
    asks: bool,
    /// Where some other nodes listen, and their regions.
    hints: Vec<(SocketAddrV4, RegionId)>,
}

/// What a node has open, by the tags of the replicas. The sender is known by its address, and what
/// has not changed is left out, so that most of these datagrams have a few ten bytes.
#[derive(Debug, Serialize, Deserialize)]
struct WorkGram {
    /// Open work that changed.
    work: Vec<(ShortTag, OpenWork)>,
    /// Shared prompt parts that were read since the last datagram.
    reads: Vec<PromptRead>,
}

/// The last clock heard of each node, and when.
type EchoTable = BTreeMap<NodeId, (u64, Instant)>;

/// Sends and receives until the process ends.
pub(crate) async fn run_gossip(core: Rc<EntryCore>, socket: UdpSocket) {
    let start = Instant::now();
    let mut echoes = EchoTable::new();
    let mut near = interval(NEAR_PAUSE);
    let mut cards = interval(START_PAUSE);
    near.set_missed_tick_behavior(MissedTickBehavior::Delay);
    cards.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; LARGEST];
    let mut whole = false;
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, SocketAddr::V4(from))) = received {
                    hear(&core, &mut echoes, &buffer[..length], from, start);
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
                tell_work(&core, &socket, std::mem::take(&mut whole)).await;
                tell_news(&core, &socket).await;
            }
            _ = cards.tick() => {
                whole = true;
                tell_cards(&core, &socket, &echoes, start).await;
                if cards.period() != CARD_PAUSE && core.started.elapsed() >= ACQUAINT_TIME {
                    cards = interval(CARD_PAUSE);
                    cards.set_missed_tick_behavior(MissedTickBehavior::Delay);
                    cards.reset();
                }
            }
        }
    }
}

/// Tells the nodes of the region what is open and was read, where that changed.
async fn tell_work(core: &Rc<EntryCore>, socket: &UdpSocket, whole: bool) {
    let gram = {
        let mut replicas = core.replicas.borrow_mut();
        WorkGram {
            work: replicas.take_work(whole),
            reads: replicas.take_reads(),
        }
    };
    if gram.work.is_empty() && gram.reads.is_empty() {
        return;
    }
    tell_near(core, socket, &NodeGram::Work(gram)).await;
}

/// Tells the nodes of the region what this one read of replicas, a few at a time.
async fn tell_news(core: &Rc<EntryCore>, socket: &UdpSocket) {
    loop {
        let part = core.replica_news.borrow_mut().take_part(MOST_NEWS);
        if part == ReplicaNews::default() {
            return;
        }
        tell_near(core, socket, &NodeGram::News(part)).await;
    }
}

async fn tell_near(core: &Rc<EntryCore>, socket: &UdpSocket, gram: &NodeGram) {
    let Ok(bytes) = postcard::to_allocvec(gram) else {
        return;
    };
    let near: Vec<SocketAddrV4> = {
        let members = core.members.borrow();
        members
            .known()
            .filter(|card| card.region == core.settings.region)
            .map(|card| card.peer)
            .collect()
    };
    for address in near {
        // A datagram that cannot be sent is as good as lost; the next one follows.
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// Tells the nodes at once what this one is, when it leaves.
pub(crate) async fn tell_all(core: &Rc<EntryCore>, socket: &UdpSocket) {
    tell_cards(core, socket, &EchoTable::new(), Instant::now()).await;
}

async fn tell_cards(core: &Rc<EntryCore>, socket: &UdpSocket, echoes: &EchoTable, start: Instant) {
    let now = Instant::now();
    let mut gram = CardGram {
        card: core.card(now),
        stamp: now.saturating_duration_since(start).as_micros() as u64,
        echo: None,
        asks: false,
        hints: hints(core),
    };
    for (address, asks) in receivers(core, now) {
        let node = core.members.borrow().at_address(address).cloned();
        gram.asks = asks;
        gram.echo = node
            .and_then(|card| echoes.get(&card.node))
            .map(|(stamp, at)| (*stamp, at.elapsed().as_micros() as u64));
        let card = NodeGram::Card(gram);
        let bytes = postcard::to_allocvec(&card);
        let NodeGram::Card(back) = card else {
            return;
        };
        gram = back;
        let Ok(bytes) = bytes else {
            return;
        };
        // A datagram that cannot be sent is as good as lost; the next one follows.
        let _ = socket.send_to(&bytes, address).await;
    }
}

fn hints(core: &EntryCore) -> Vec<(SocketAddrV4, RegionId)> {
    let members = core.members.borrow();
    let known: Vec<_> = members
        .known()
        .map(|card| (card.peer, &card.region))
        .collect();
    known
        .sample(&mut rand::rng(), MOST_HINTS)
        .map(|(peer, region)| (*peer, (*region).clone()))
        .collect()
}

/// Gives whom to tell now, and whether each is asked for its own card: the contacts of this node, and
/// those whose contact it is.
fn receivers(core: &EntryCore, now: Instant) -> BTreeMap<SocketAddrV4, bool> {
    let members = core.members.borrow();
    let mut found: BTreeMap<SocketAddrV4, bool> = members
        .askers(now)
        .map(|address| (address, false))
        .collect();
    for address in core.contacts.borrow_mut().round(now) {
        found.insert(address, true);
    }
    found
}

fn hear(
    core: &EntryCore,
    echoes: &mut EchoTable,
    bytes: &[u8],
    from: SocketAddrV4,
    start: Instant,
) {
    match postcard::from_bytes(bytes) {
        Ok(NodeGram::Card(gram)) => hear_card(core, echoes, gram, start),
        Ok(NodeGram::Work(gram)) => hear_work(core, &gram, from),
        Ok(NodeGram::News(news)) => take_replica_news(core, news, Instant::now()),
        Err(_) => core.log.write(
            "datagram-rejected",
            serde_json::json!({"bytes": bytes.len(), "from": from.to_string()}),
        ),
    }
}

fn hear_card(core: &EntryCore, echoes: &mut EchoTable, gram: CardGram, start: Instant) {
    let node = gram.card.node.clone();
    if node == core.settings.name {
        return;
    }
    let now = Instant::now();
    echoes.insert(node.clone(), (gram.stamp, now));
    {
        let mut contacts = core.contacts.borrow_mut();
        contacts.note_heard(gram.card.peer, &gram.card.region, now);
        for (address, region) in &gram.hints {
            contacts.note(*address, Some(region));
        }
    }
    let (region, stage) = (gram.card.region.clone(), gram.card.stage);
    let asks = gram.asks;
    let (fresh, replaced) = core.members.borrow_mut().hear(gram.card, asks, now);
    if let Some(incarnation) = replaced
        && region == core.settings.region
    {
        note_death(core, &node, incarnation);
    }
    // A node that was heard of while it started tells by a later card that it is ready now.
    core.learned.notify_waiters();
    if fresh {
        core.log.write(
            "member",
            serde_json::json!({"member": node, "region": region, "stage": stage}),
        );
    }
    if let Some((stamp, held)) = gram.echo {
        let passed = now.saturating_duration_since(start).as_micros() as u64;
        let trip = passed.saturating_sub(stamp).saturating_sub(held);
        core.members
            .borrow_mut()
            .note_trip(&node, Duration::from_micros(trip));
    }
}

fn hear_work(core: &EntryCore, gram: &WorkGram, from: SocketAddrV4) {
    let members = core.members.borrow();
    let Some(card) = members.at_address(from) else {
        return;
    };
    if card.region != core.settings.region {
        return;
    }
    let mut replicas = core.replicas.borrow_mut();
    replicas.note_work(&card.node, &gram.work, Instant::now());
    replicas.note_reads(&gram.reads, |service| {
        core.service(service).map_or(0, |spec| spec.kv_tokens)
    });
}
