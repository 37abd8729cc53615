//! Datagrams between nodes: who lives, what each region can take, and who has work where.

use crate::accounts::note_death;
use crate::core::ACQUAINT_TIME;
use crate::core::EntryCore;
use crate::datagrams::speaks_near;
use crate::news::take_replica_news;
use crate::news_teller::tell_known_suspects;
use crate::news_teller::tell_news;
use crate::news_teller::tell_suspects;
use crate::node_gram::CardGram;
use crate::node_gram::NodeGram;
use crate::own_card::own_card;
use crate::quarantine::NewsSource;
use crate::quarantine::hear_suspects;
use crate::work_teller::WorkTeller;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep_until;
use zinniahatch_base::prelude::*;

/// Pause between cards; three are lost before a node counts as silent.
const CARD_PAUSE: Duration = Duration::from_millis(500);
/// Pause between cards while a node gets to know the others. Until it heard of one in another region it
/// turned away what its own could not serve.
const START_PAUSE: Duration = Duration::from_millis(100);
/// Largest datagram that is read.
const LARGEST: usize = 8 << 10;
/// Other nodes named in a datagram, so that a fresh node finds all from one.
const MOST_HINTS: usize = 3;

/// The last clock heard of each node, and when.
type EchoTable = BTreeMap<NodeId, (u64, Instant)>;

/// Sends and receives until the process ends.
pub(crate) async fn run_gossip(core: Rc<EntryCore>, socket: UdpSocket) {
    let start = Instant::now();
    let mut echoes = EchoTable::new();
    let mut teller = WorkTeller::new(core.origin());
    let mut cards = interval(START_PAUSE);
    cards.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; LARGEST];
    loop {
        let due = teller.due();
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, SocketAddr::V4(from))) = received {
                    let differs =
                        hear(&core, &mut teller, &mut echoes, &buffer[..length], from, start);
                    if differs {
                        tell_known_suspects(&core, &socket, from).await;
                    }
                }
            }
            () = core.work_changed.notified() => teller.note_changed(Instant::now()),
            () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => {
                teller.tell(&core, &socket).await;
            }
            _ = cards.tick() => {
                tell_cards(&core, &socket, &echoes, start).await;
                teller.refresh(&core, &socket).await;
                tell_news(&core, &socket).await;
                tell_suspects(&core, &socket, true).await;
                if cards.period() != CARD_PAUSE && core.started.elapsed() >= ACQUAINT_TIME {
                    cards = interval(CARD_PAUSE);
                    cards.set_missed_tick_behavior(MissedTickBehavior::Delay);
                    cards.reset();
                }
            }
        }
    }
}

/// Tells the nodes at once what this one is, when it leaves.
pub(crate) async fn tell_all(core: &Rc<EntryCore>, socket: &UdpSocket) {
    tell_cards(core, socket, &EchoTable::new(), Instant::now()).await;
}

async fn tell_cards(core: &Rc<EntryCore>, socket: &UdpSocket, echoes: &EchoTable, start: Instant) {
    let now = Instant::now();
    let mut gram = CardGram {
        card: own_card(core, now),
        stamp: now.saturating_duration_since(start).as_micros() as u64,
        echo: None,
        asks: false,
        hints: hints(core),
        suspects: core.suspects.borrow().known_digest(),
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

/// Takes a datagram; tells whether its sender knows other suspects than this node.
fn hear(
    core: &EntryCore,
    teller: &mut WorkTeller,
    echoes: &mut EchoTable,
    bytes: &[u8],
    from: SocketAddrV4,
    start: Instant,
) -> bool {
    match postcard::from_bytes(bytes) {
        Ok(NodeGram::Card(gram)) => {
            let differs = gram.suspects != core.suspects.borrow().known_digest();
            hear_card(core, echoes, gram, start);
            return differs;
        }
        Ok(NodeGram::Suspects(news)) => hear_suspects(core, &news, source_of(core, from)),
        Ok(NodeGram::Work(gram)) => teller.hear(core, gram, from),
        Ok(NodeGram::News(news)) => take_replica_news(core, news, Instant::now()),
        Err(_) => core.log.write(
            "datagram-rejected",
            serde_json::json!({"bytes": bytes.len(), "from": from.to_string()}),
        ),
    }
    false
}

/// Tells whether a node of this region speaks from an address. One that is not known yet is taken for one of
/// another region, so that what it says is passed on.
fn source_of(core: &EntryCore, from: SocketAddrV4) -> NewsSource {
    if speaks_near(core, from) {
        NewsSource::Near
    } else {
        NewsSource::Far
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
        // A node that has not heard of this start yet echoes the clock of an earlier one.
        let Some(trip) = passed.checked_sub(stamp + held) else {
            return;
        };
        core.members
            .borrow_mut()
            .note_trip(&node, Duration::from_micros(trip));
        let sent = start + Duration::from_micros(stamp);
        core.ways.borrow_mut().note_proof(&region, sent);
    }
}
