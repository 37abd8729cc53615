//! Datagrams between nodes: who lives, what each region can take, and who has work where.

use crate::core::ACQUAINT_TIME;
use crate::core::EntryCore;
use crate::counts::counting::note_death;
use crate::nodes::datagrams::speaks_near;
use crate::nodes::news_teller::tell_known_notices;
use crate::nodes::news_teller::tell_known_suspects;
use crate::nodes::news_teller::tell_news;
use crate::nodes::news_teller::tell_suspects;
use crate::nodes::node_gram::CardGram;
use crate::nodes::node_gram::NodeGram;
use crate::nodes::own_card::own_card;
use crate::nodes::work_teller::WorkTeller;
use crate::replicas::quarantine::NewsSource;
use crate::replicas::quarantine::hear_suspects;
use crate::replicas::rate_limit::hear_limits;
use crate::store::news::take_replica_news;
use crate::who::proofs::hear_proof;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep_until;
use zinniahatch_base::prelude::*;
use zinniahatch_route::RateLimitUpdate;
use zinniahatch_route::RegionSpends;
use zinniahatch_route::ToldProof;

/// Pause between cards; three are lost before a node counts as silent.
const CARD_PAUSE: Duration = Duration::from_millis(500);
/// Pause between cards while a node gets to know the others. Until it heard of one in another region it
/// turned away what its own could not serve.
const START_PAUSE: Duration = Duration::from_millis(100);
/// Pause between tellings of what the accounts use to the other regions.
const FAR_PAUSE: Duration = Duration::from_millis(200);
/// Largest datagram that is read.
const LARGEST: usize = 8 << 10;
/// Other nodes named in a datagram, so that a fresh node finds all from one.
const MOST_HINTS: usize = 3;

/// The last clock heard of each node, and when.
type EchoTable = BTreeMap<NodeId, (u64, Instant)>;

/// Sends and receives until the process ends.
pub(crate) async fn run_gossip(core: Rc<EntryCore>, socket: UdpSocket) {
    let mut echoes = EchoTable::new();
    let mut teller = WorkTeller::new(core.origin());
    let mut cards = interval(START_PAUSE);
    cards.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut far = interval(FAR_PAUSE);
    far.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; LARGEST];
    loop {
        let due = teller.due();
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, SocketAddr::V4(from))) = received {
                    let heard = hear(&core, &mut teller, &mut echoes, &buffer[..length], from);
                    match heard {
                        HeardGram::Plain => {}
                        HeardGram::Card(differs) => {
                            if differs.suspects {
                                tell_known_suspects(&core, &socket, from).await;
                            }
                            if differs.notices {
                                tell_known_notices(&core, &socket, from).await;
                            }
                        }
                        HeardGram::Spends(spends) => teller.hear_far(&core, &socket, &spends).await,
                    }
                }
            }
            () = core.work_changed.notified() => teller.note_changed(Instant::now()),
            () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => {
                teller.tell(&core, &socket).await;
            }
            _ = far.tick() => teller.tell_far(&core, &socket).await,
            _ = cards.tick() => {
                tell_cards(&core, &socket, &echoes).await;
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
    tell_cards(core, socket, &EchoTable::new()).await;
}

async fn tell_cards(core: &Rc<EntryCore>, socket: &UdpSocket, echoes: &EchoTable) {
    let now = Instant::now();
    let mut gram = CardGram {
        card: own_card(core, now),
        stamp: 0,
        echo: None,
        asks: false,
        hints: hints(core),
        suspects: core.suspects.borrow().accused_digest(),
        notices: notices_digest(core),
    };
    for (address, asks) in receivers(core, now) {
        let node = core.members.borrow().at_address(address).cloned();
        gram.asks = asks;
        gram.echo = node
            .and_then(|card| echoes.get(&card.node))
            .map(|(stamp, at)| (*stamp, at.elapsed().as_micros() as u64));
        // Read after the time for which the echo was held: the receiver takes that off the age of the proof.
        let sent = core.clock.now();
        gram.stamp = core.clock.stamp(sent);
        gram.card.proof = core.proofs.borrow().told(sent);
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

/// Gives a digest of what replicas of the region said of themselves that binds all its nodes.
fn notices_digest(core: &EntryCore) -> u64 {
    let replicas = core.replicas.borrow();
    replicas.limits.digest() ^ replicas.leaving_digest()
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

/// What the sender of a card knows otherwise than this node.
#[derive(Clone, Copy)]
struct CardDiffers {
    suspects: bool,
    notices: bool,
}

/// What is to be done about a datagram that was taken.
enum HeardGram {
    /// Nothing more.
    Plain,
    /// A card, and what its sender knows otherwise than this node.
    Card(CardDiffers),
    /// What the accounts use in another region.
    Spends(RegionSpends),
}

/// Takes a datagram.
fn hear(
    core: &EntryCore,
    teller: &mut WorkTeller,
    echoes: &mut EchoTable,
    bytes: &[u8],
    from: SocketAddrV4,
) -> HeardGram {
    match postcard::from_bytes(bytes) {
        Ok(NodeGram::Card(gram)) => {
            let near = gram.card.region == core.settings.region;
            let differs = CardDiffers {
                suspects: gram.suspects != core.suspects.borrow().accused_digest(),
                notices: near && gram.notices != notices_digest(core),
            };
            hear_card(core, echoes, gram);
            return HeardGram::Card(differs);
        }
        Ok(NodeGram::Suspects(news)) => hear_suspects(core, &news, source_of(core, from)),
        Ok(NodeGram::Limits(news)) => hear_near_limits(core, &news, from),
        Ok(NodeGram::Work(gram)) => teller.hear(core, gram, from),
        Ok(NodeGram::Spends(spends)) => return HeardGram::Spends(spends),
        Ok(NodeGram::News(news)) => take_replica_news(core, news, Instant::now()),
        Err(_) => core.log.write(
            "datagram-rejected",
            serde_json::json!({"bytes": bytes.len(), "from": from.to_string()}),
        ),
    }
    HeardGram::Plain
}

fn hear_near_limits(core: &EntryCore, news: &[RateLimitUpdate], from: SocketAddrV4) {
    if speaks_near(core, from) {
        hear_limits(core, news);
    }
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

fn hear_card(core: &EntryCore, echoes: &mut EchoTable, gram: CardGram) {
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
    let proof = gram.card.proof;
    if region == core.settings.region {
        let mut quotas = core.quotas.borrow_mut();
        quotas.note_heard(tag_of(&region), now);
    }
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
        hear_echo(
            core,
            &node,
            &region,
            stamp,
            Duration::from_micros(held),
            proof,
        );
    }
}

/// Takes back the stamp of one of this node's own cards, which the other node held for a while.
fn hear_echo(
    core: &EntryCore,
    node: &NodeId,
    region: &RegionId,
    stamp: u64,
    held: Duration,
    proof: Option<ToldProof>,
) {
    let now = core.clock.now();
    // A node that has not heard of this start yet echoes a stamp of an earlier one.
    let Some(asked) = core.clock.sent_at(stamp, now) else {
        return;
    };
    // The card that brings the echo was sent no earlier than this.
    let answered = asked + held;
    let trip = now.saturating_sub(answered);
    core.members.borrow_mut().note_trip(node, trip);
    if let Some(told) = proof {
        hear_proof(core, told, answered);
    }
    let sent = Instant::now().checked_sub(now.saturating_sub(asked));
    if let Some(sent) = sent {
        core.ways.borrow_mut().note_proof(region, sent);
    }
}
