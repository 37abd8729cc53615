//! Gossip between nodes over UDP: membership, capacity of each region and in-flight work.

use crate::auth::proofs::apply_proof;
use crate::core::EntryCore;
use crate::counts::counting::record_node_failure;
use crate::nodes::broadcast::broadcast_parts;
use crate::nodes::broadcast::broadcast_replica_updates;
use crate::nodes::broadcast::broadcast_suspects;
use crate::nodes::broadcast::send_known_notices;
use crate::nodes::broadcast::send_known_parts;
use crate::nodes::broadcast::send_known_suspects;
use crate::nodes::broadcast::send_reply;
use crate::nodes::datagrams::is_from_own_region;
use crate::nodes::datagrams::region_of;
use crate::nodes::datagrams::send_bytes;
use crate::nodes::gossip_message::GossipMessage;
use crate::nodes::gossip_message::Heartbeat;
use crate::nodes::gossip_message::HeartbeatTail;
use crate::nodes::gossip_message::PartReport;
use crate::nodes::own_info::own_member_info;
use crate::nodes::replica_updates::decode_tail;
use crate::nodes::rosters::RosterExchange;
use crate::nodes::rosters::handle_members;
use crate::nodes::rosters::send_members;
use crate::nodes::stream_origins::add_to_record;
use crate::nodes::stream_origins::handle_origins;
use crate::nodes::stream_origins::handle_query;
use crate::nodes::work_reporter::WorkReporter;
use crate::replicas::part_quarantine::apply_part_updates;
use crate::replicas::quarantine::UpdateSource;
use crate::replicas::quarantine::apply_suspects;
use crate::replicas::rate_limit::apply_rate_limit_updates;
use crate::replicas::warmth_checks::apply_cold_reports;
use crate::store::updates::apply_replica_updates;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep_until;
use zinniahatch_base::prelude::*;
use zinniahatch_route::DISCOVERY_TIME;
use zinniahatch_route::FreshnessProof;
use zinniahatch_route::MemberInfo;
use zinniahatch_route::RateLimitUpdate;
use zinniahatch_route::RegionUsage;
use zinniahatch_route::RosterPart;
use zinniahatch_route::StreamOrigin;

/// Interval between heartbeats; a node counts as silent after three lost ones.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Heartbeat interval while a node discovers the others. Until it knows a node in another region it
/// rejects the requests that its own region cannot serve.
const STARTUP_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between account usage reports to the other regions.
const USAGE_INTERVAL: Duration = Duration::from_millis(200);
/// Size of the receive buffer, and thus the largest datagram that is read in full.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;
/// Number of peer addresses in a heartbeat, so that a new node discovers all nodes from one
/// node.
const MAX_PEERS: usize = 3;

/// The last timestamp received from each node, and when it arrived.
type EchoTable = BTreeMap<NodeId, (u64, Instant)>;

/// Runs the gossip loop until the process ends.
pub(crate) async fn run_gossip(core: Rc<EntryCore>, socket: Rc<UdpSocket>) {
    let mut echoes = EchoTable::new();
    let mut reporter = WorkReporter::new(core.origin());
    let mut rosters = RosterExchange::default();
    let mut heartbeats = interval(STARTUP_HEARTBEAT_INTERVAL);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut usage_reports = interval(USAGE_INTERVAL);
    usage_reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let due = reporter.next_due();
        let fallback_due = rosters.fallback_due();
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, SocketAddr::V4(from))) = received {
                    let effect = handle_datagram(&core, &mut reporter, &mut echoes, &buffer[..length], from);
                    match effect {
                        DatagramEffect::Handled => {}
                        DatagramEffect::Heartbeat(diff) => {
                            if diff.suspects {
                                send_known_suspects(&core, &socket, from).await;
                            }
                            if diff.parts {
                                send_known_parts(&core, &socket, from).await;
                            }
                            if diff.notices {
                                send_known_notices(&core, &socket, from).await;
                            }
                        }
                        DatagramEffect::Reply(message) => send_reply(&core, &socket, &message, from).await,
                        DatagramEffect::AccountUsage(usage) => reporter.handle_remote_usage(&core, &socket, &usage).await,
                        DatagramEffect::RosterRequest => {
                            let own = || MemberInfo {
                                proof: core.key_freshness.borrow().to_share(core.clock.now()),
                                ..own_member_info(&core, Instant::now())
                            };
                            rosters.send_roster(&core, &socket, own, from).await;
                        }
                        DatagramEffect::Roster(part) => rosters.handle_roster(&core, &socket, &part, from).await,
                        DatagramEffect::MembersRequest(tags) => {
                            let own = || own_member_info(&core, Instant::now());
                            send_members(&core, &socket, own, &tags, from).await;
                        }
                    }
                }
            }
            () = core.version_seen.notified() => {
                let now = Instant::now();
                let own = own_member_info(&core, now);
                let targets = rosters.choose_targets(&core, &own, now);
                send_heartbeats(&core, &socket, &echoes, own, targets).await;
            }
            () = core.work_changed.notified() => reporter.schedule_changes(Instant::now()),
            () = sleep_until(due.unwrap_or_else(Instant::now).into()), if due.is_some() => {
                reporter.send_due(&core, &socket).await;
            }
            () = sleep_until(fallback_due.unwrap_or_else(Instant::now).into()), if fallback_due.is_some() => {
                let now = Instant::now();
                let targets = rosters.fallback_targets(&core, now);
                send_heartbeats(&core, &socket, &echoes, own_member_info(&core, now), targets).await;
            }
            _ = usage_reports.tick() => reporter.report_usage(&core, &socket).await,
            _ = heartbeats.tick() => {
                let now = Instant::now();
                let own = own_member_info(&core, now);
                let targets = rosters.choose_targets(&core, &own, now);
                send_heartbeats(&core, &socket, &echoes, own, targets).await;
                rosters.request_rosters(&core, &socket, now).await;
                reporter.refresh(&core, &socket).await;
                broadcast_replica_updates(&core, &socket).await;
                broadcast_suspects(&core, &socket, true).await;
                broadcast_parts(&core, &socket, true).await;
                let discovered = core.started.elapsed() >= DISCOVERY_TIME || core.uses_relays.get();
                if heartbeats.period() != HEARTBEAT_INTERVAL && discovered {
                    heartbeats = interval(HEARTBEAT_INTERVAL);
                    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
                    heartbeats.reset();
                }
            }
        }
    }
}

/// Sends a heartbeat that announces that this node is leaving to all nodes of the region and to the
/// heartbeat targets in other regions.
pub(crate) async fn announce_leaving(core: &Rc<EntryCore>, socket: &UdpSocket) {
    let now = Instant::now();
    let targets = core.heartbeat_targets.borrow_mut().next_targets(now);
    let own = own_member_info(core, now);
    send_heartbeats(core, socket, &EchoTable::new(), own, targets).await;
}

async fn send_heartbeats(
    core: &Rc<EntryCore>,
    socket: &UdpSocket,
    echoes: &EchoTable,
    own: MemberInfo,
    targets: Vec<SocketAddrV4>,
) {
    let now = Instant::now();
    let mut heartbeat = Heartbeat {
        member: own,
        stamp: 0,
        echo: None,
        wants_reply: false,
        peers: sample_peers(core),
        suspects: core.suspects.borrow().accused_digest(),
        notices: notices_digest(core),
    };
    let mut tail = postcard::to_allocvec(&heartbeat_tail(core, now)).unwrap_or_default();
    let report = core
        .versions
        .borrow()
        .report(core.longest_stream.get().limit(), now);
    tail.extend(postcard::to_allocvec(&report).unwrap_or_default());
    tail.extend(postcard::to_allocvec(&core.part_digest.get()).unwrap_or_default());
    tail.extend(postcard::to_allocvec(&heartbeat.member.store_progress).unwrap_or_default());
    tail.extend(postcard::to_allocvec(&core.versions.borrow().recorded()).unwrap_or_default());
    for (address, wants_reply) in heartbeat_receivers(core, targets, now) {
        let node = core.members.borrow().at_address(address).cloned();
        heartbeat.wants_reply = wants_reply;
        heartbeat.echo = node
            .and_then(|member| echoes.get(&member.node))
            .map(|(stamp, at)| (*stamp, at.elapsed().as_micros() as u64));
        // Read after the echo's hold time is computed, since the receiver subtracts that time from
        // the age of the proof.
        let sent = core.clock.now();
        heartbeat.stamp = core.clock.stamp(sent);
        heartbeat.member.proof = core.key_freshness.borrow().to_share(sent);
        let message = GossipMessage::Heartbeat(heartbeat);
        let bytes = postcard::to_allocvec(&message);
        let kind = message.kind();
        let GossipMessage::Heartbeat(sent_heartbeat) = message else {
            return;
        };
        heartbeat = sent_heartbeat;
        let Ok(mut bytes) = bytes else {
            return;
        };
        bytes.extend(&tail);
        send_bytes(core, socket, kind, &bytes, address).await;
    }
}

fn heartbeat_tail(core: &EntryCore, now: Instant) -> HeartbeatTail {
    let nodes = core.region_peers(now).len() + 1;
    let mut fleet_size = core.fleet_size.borrow_mut();
    fleet_size.note(&core.settings.region, nodes);
    HeartbeatTail {
        region_nodes: nodes as u32,
    }
}

/// Returns a digest of the rate limits and leaving notices of replicas, which apply to all nodes of
/// the region.
fn notices_digest(core: &EntryCore) -> u64 {
    let replicas = core.replicas.borrow();
    replicas.limits.digest() ^ replicas.leaving_digest()
}

fn sample_peers(core: &EntryCore) -> Vec<(SocketAddrV4, RegionId)> {
    let members = core.members.borrow();
    let known: Vec<_> = members
        .known()
        .map(|member| (member.peer, &member.region))
        .collect();
    known
        .sample(&mut rand::rng(), MAX_PEERS)
        .map(|(peer, region)| (*peer, (*region).clone()))
        .collect()
}

/// Returns the addresses that receive a heartbeat now, and whether each is asked to reply with its
/// own: the heartbeat targets of this node, and the nodes that have it as a target.
fn heartbeat_receivers(
    core: &EntryCore,
    targets: Vec<SocketAddrV4>,
    now: Instant,
) -> BTreeMap<SocketAddrV4, bool> {
    let members = core.members.borrow();
    let mut found: BTreeMap<SocketAddrV4, bool> = members
        .awaiting_reply(now)
        .map(|address| (address, false))
        .collect();
    for address in targets {
        found.insert(address, true);
    }
    found
}

/// Which state the sender of a heartbeat has that differs from this node's.
#[derive(Clone, Copy)]
struct StateDiff {
    suspects: bool,
    parts: bool,
    notices: bool,
}

/// Follow-up action for a received datagram.
enum DatagramEffect {
    /// No follow-up.
    Handled,
    /// A heartbeat was received; states that differ are sent to the sender.
    Heartbeat(StateDiff),
    /// The sender lacks something that this node knows.
    Reply(Box<GossipMessage>),
    /// Account usage in another region, to be passed on within this one.
    AccountUsage(RegionUsage),
    /// The sender requests the roster of the region.
    RosterRequest,
    /// Part of the roster of the region, to be applied.
    Roster(RosterPart),
    /// The sender requests what the nodes with these tags announced.
    MembersRequest(Vec<ShortTag>),
}

/// Handles a received datagram.
fn handle_datagram(
    core: &EntryCore,
    reporter: &mut WorkReporter,
    echoes: &mut EchoTable,
    bytes: &[u8],
    from: SocketAddrV4,
) -> DatagramEffect {
    let Ok((message, rest)) = postcard::take_from_bytes::<GossipMessage>(bytes) else {
        core.log.write(
            "datagram-rejected",
            serde_json::json!({"bytes": bytes.len(), "from": from.to_string()}),
        );
        return DatagramEffect::Handled;
    };
    core.metrics
        .messages
        .note_received(message.kind(), bytes.len());
    match message {
        GossipMessage::Heartbeat(mut heartbeat) => {
            let parts = handle_heartbeat_tail(core, &mut heartbeat.member, rest);
            let same_region = heartbeat.member.region == core.settings.region;
            let diff = StateDiff {
                suspects: heartbeat.suspects != core.suspects.borrow().accused_digest(),
                parts: parts.is_some_and(|digest| digest != core.part_digest.get()),
                notices: same_region && heartbeat.notices != notices_digest(core),
            };
            handle_heartbeat(core, echoes, heartbeat);
            return DatagramEffect::Heartbeat(diff);
        }
        GossipMessage::Suspects(batch) => {
            let updates = apply_suspects(core, &batch, source_of(core, from));
            if !updates.is_empty() {
                return DatagramEffect::Reply(Box::new(GossipMessage::Suspects(updates)));
            }
        }
        GossipMessage::PartSuspects(report) => {
            let source = source_of(core, from);
            let relay = report.relay && source == UpdateSource::OtherRegion;
            let updates = apply_part_updates(core, &report.updates, source, relay);
            if !updates.is_empty() {
                let relay = false;
                let report = PartReport { updates, relay };
                return DatagramEffect::Reply(Box::new(GossipMessage::PartSuspects(report)));
            }
        }
        GossipMessage::RateLimits(updates) => handle_rate_limits(core, &updates, from),
        GossipMessage::Work(report) => reporter.handle_report(core, report, from),
        GossipMessage::AccountUsage(usage) => return DatagramEffect::AccountUsage(usage),
        GossipMessage::RosterRequest => return DatagramEffect::RosterRequest,
        GossipMessage::Roster(mut part) => {
            part.store_progress = postcard::from_bytes(rest).unwrap_or_default();
            return DatagramEffect::Roster(part);
        }
        GossipMessage::MembersRequest(tags) => return DatagramEffect::MembersRequest(tags),
        GossipMessage::Members(infos) => handle_members(core, infos, from),
        GossipMessage::StreamOrigins(records) => handle_origins(core, &records, false),
        GossipMessage::RemoteOrigins(records) => handle_origins(core, &records, true),
        GossipMessage::OriginQuery(query) => handle_query(core, query),
        GossipMessage::StreamsToRecord(records) => {
            if is_from_own_region(core, from) {
                add_to_record(core, &records, Instant::now());
            }
        }
        GossipMessage::ColdReplicas(reports) => apply_cold_reports(core, &reports, from),
        GossipMessage::Replicas(mut batch) => {
            let range = decode_tail(&mut batch.written, rest);
            apply_replica_updates(core, batch, Instant::now());
            if let Some((region, range)) = region_of(core, from).zip(range) {
                core.note_range(&region, range);
            }
        }
    }
    DatagramEffect::Handled
}

/// Handles what follows a heartbeat of a node in its datagram; returns its digest of suspect prompt
/// parts, if it has one.
fn handle_heartbeat_tail(core: &EntryCore, member: &mut MemberInfo, tail: &[u8]) -> Option<u64> {
    let (tail, rest) = postcard::take_from_bytes::<HeartbeatTail>(tail).ok()?;
    let mut fleet_size = core.fleet_size.borrow_mut();
    fleet_size.note(&member.region, tail.region_nodes as usize);
    let (report, rest) = postcard::take_from_bytes(rest).ok()?;
    let mut versions = core.versions.borrow_mut();
    versions.apply(&member.region, report, Instant::now());
    let (parts, rest) = postcard::take_from_bytes(rest).ok()?;
    let Ok((progress, rest)) = postcard::take_from_bytes(rest) else {
        return Some(parts);
    };
    member.store_progress = progress;
    if let Ok((era, recorded)) = postcard::from_bytes::<(u64, BTreeSet<StreamOrigin>)>(rest) {
        if member.region == core.settings.region {
            versions.note_recorded(era, recorded.into_iter());
            core.record_learned.notify_waiters();
        } else {
            versions.apply_recorded(&member.region, recorded.into_iter(), Instant::now());
        }
    }
    Some(parts)
}

fn handle_rate_limits(core: &EntryCore, updates: &[RateLimitUpdate], from: SocketAddrV4) {
    if is_from_own_region(core, from) {
        apply_rate_limit_updates(core, updates);
    }
}

/// Returns the origin of updates from an address.
///
/// An unknown sender counts as a node of another region, so that its updates are forwarded.
fn source_of(core: &EntryCore, from: SocketAddrV4) -> UpdateSource {
    if is_from_own_region(core, from) {
        UpdateSource::SameRegion
    } else {
        UpdateSource::OtherRegion
    }
}

fn handle_heartbeat(core: &EntryCore, echoes: &mut EchoTable, heartbeat: Heartbeat) {
    let node = heartbeat.member.node.clone();
    if node == core.settings.name {
        return;
    }
    let now = Instant::now();
    echoes.insert(node.clone(), (heartbeat.stamp, now));
    {
        let mut targets = core.heartbeat_targets.borrow_mut();
        targets.note_received(heartbeat.member.peer, &heartbeat.member.region, now);
        for (address, region) in &heartbeat.peers {
            targets.add(*address, Some(region));
        }
    }
    let (region, stage) = (heartbeat.member.region.clone(), heartbeat.member.stage);
    let proof = heartbeat.member.proof;
    if region == core.settings.region {
        let mut quotas = core.quotas.borrow_mut();
        quotas.note_contact(tag_of(&region), now);
    }
    let wants_reply = heartbeat.wants_reply;
    let (is_new, replaced) = core
        .members
        .borrow_mut()
        .update(heartbeat.member, wants_reply, now);
    if let Some(incarnation) = replaced
        && region == core.settings.region
    {
        record_node_failure(core, &node, incarnation);
    }
    // The sender may have been discovered while it was starting; a later heartbeat reports it as
    // ready.
    core.state_learned.notify_waiters();
    if is_new {
        core.log.write(
            "member",
            serde_json::json!({"member": node, "region": region, "stage": stage}),
        );
    }
    if let Some((stamp, hold_time)) = heartbeat.echo {
        handle_echo(
            core,
            &node,
            &region,
            stamp,
            Duration::from_micros(hold_time),
            proof,
        );
    }
}

/// Handles the echo of a timestamp that this node sent, and that the other node held for a while.
fn handle_echo(
    core: &EntryCore,
    node: &NodeId,
    region: &RegionId,
    stamp: u64,
    hold_time: Duration,
    proof: Option<FreshnessProof>,
) {
    let now = core.clock.now();
    // A node that has no heartbeat of this process yet may echo a timestamp of an earlier process.
    let Some(stamp_sent) = core.clock.sent_at(stamp, now) else {
        return;
    };
    // The heartbeat that carries the echo was sent no earlier than this.
    let echo_sent = stamp_sent + hold_time;
    let round_trip = now.saturating_sub(echo_sent);
    let mut members = core.members.borrow_mut();
    members.note_round_trip(node, round_trip, Instant::now());
    drop(members);
    if let Some(proof) = proof {
        apply_proof(core, proof, echo_sent);
    }
    let sent = Instant::now().checked_sub(now.saturating_sub(stamp_sent));
    if let Some(sent) = sent {
        core.region_paths.borrow_mut().note_delivered(region, sent);
    }
}
