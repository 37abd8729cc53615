//! Exchange of rosters with the relays of the region.

use crate::core::EntryCore;
use crate::counts::counting::record_node_failure;
use crate::nodes::datagrams::is_from_own_region;
use crate::nodes::datagrams::send_bytes;
use crate::nodes::datagrams::send_message;
use crate::nodes::gossip_message::GossipMessage;
use crate::nodes::gossip_message::ROSTER_KIND;
use rand::RngExt;
use rand::seq::IndexedRandom;
use std::net::SocketAddrV4;
use tokio::net::UdpSocket;
use zinniahatch_base::prelude::*;
use zinniahatch_route::DISCOVERY_TIME;
use zinniahatch_route::MAX_MESH_NODES;
use zinniahatch_route::MemberInfo;
use zinniahatch_route::RelaySet;
use zinniahatch_route::RosterPart;
use zinniahatch_route::RosterWait;
use zinniahatch_route::choose_relays;

/// Time for which an encoded roster is sent to all nodes that request it.
const ROSTER_REUSE_TIME: Duration = Duration::from_millis(100);
/// Nodes that are asked for a roster while this node does not know enough others to choose relays.
const STARTUP_SOURCES: usize = 2;
/// Members per datagram, 70 bytes each, so that it fits in one packet.
const MAX_MEMBERS: usize = 16;

/// The rosters that this node requests and sends.
#[derive(Default)]
pub(crate) struct RosterExchange {
    relays: Option<RelaySet>,
    wait: RosterWait,
    /// The due time for which heartbeats were sent to all nodes.
    fallback_done: Option<Instant>,
    /// The encoded roster and when it was built.
    encoded: Option<(Vec<Vec<u8>>, Instant)>,
}

impl RosterExchange {
    /// Chooses the relays anew, and returns the targets of the next heartbeat.
    pub(crate) fn choose_targets(
        &mut self,
        core: &EntryCore,
        own: &MemberInfo,
        now: Instant,
    ) -> Vec<SocketAddrV4> {
        let members = core.members.borrow();
        self.relays = choose_relays(&members, own, now);
        core.uses_relays.set(self.relays.is_some());
        let mut targets = core.heartbeat_targets.borrow_mut();
        let Some(relays) = self.relays.as_ref().filter(|_| !self.wait.is_overdue(now)) else {
            return targets.next_targets(now);
        };
        let live = members.recent_in(&own.region, now);
        let live: BTreeSet<SocketAddrV4> = live.into_iter().map(|(info, _)| info.peer).collect();
        let is_live = |address| live.contains(&address);
        targets.next_targets_by_relays(&relays.all, is_live, rand::rng().random(), now)
    }

    /// Requests the roster of the region.
    pub(crate) async fn request_rosters(
        &mut self,
        core: &EntryCore,
        socket: &UdpSocket,
        now: Instant,
    ) {
        let sources: Vec<SocketAddrV4> = match &self.relays {
            Some(relays) => {
                self.wait.note_requested(now);
                relays.roster_sources.iter().copied().collect()
            }
            None if core.started.elapsed() < DISCOVERY_TIME => startup_sources(core, now),
            None => Vec::new(),
        };
        for address in sources {
            send_message(core, socket, &GossipMessage::RosterRequest, address).await;
        }
    }

    /// Returns when heartbeats have to go to all nodes unless a roster arrives.
    pub(crate) fn fallback_due(&self) -> Option<Instant> {
        self.wait
            .due()
            .filter(|due| self.fallback_done != Some(*due))
    }

    /// Returns all targets, for a heartbeat in place of the rosters that did not arrive.
    pub(crate) fn fallback_targets(&mut self, core: &EntryCore, now: Instant) -> Vec<SocketAddrV4> {
        self.fallback_done = self.wait.due();
        core.metrics.messages.note_roster_missed();
        core.log.write(
            "rosters-missing",
            serde_json::json!({"relays": self.relays.as_ref().map(|relays| relays.all.len())}),
        );
        core.heartbeat_targets.borrow_mut().next_targets(now)
    }

    /// Sends the roster of the region to a node that requested it, unless the region is so small
    /// that its nodes send each other heartbeats.
    pub(crate) async fn send_roster(
        &mut self,
        core: &EntryCore,
        socket: &UdpSocket,
        own: impl FnOnce() -> MemberInfo,
        to: SocketAddrV4,
    ) {
        let now = Instant::now();
        let is_current = self
            .encoded
            .as_ref()
            .is_some_and(|(_, built)| now.saturating_duration_since(*built) < ROSTER_REUSE_TIME);
        if !is_current {
            self.encoded = Some((encode_roster(core, &own(), now), now));
        }
        for bytes in self.encoded.iter().flat_map(|(parts, _)| parts) {
            send_bytes(core, socket, ROSTER_KIND, bytes, to).await;
        }
    }

    /// Applies a part of a roster, and requests what it names unknown nodes by.
    pub(crate) async fn handle_roster(
        &mut self,
        core: &EntryCore,
        socket: &UdpSocket,
        part: &RosterPart,
        from: SocketAddrV4,
    ) {
        if !is_from_own_region(core, from) {
            return;
        }
        self.wait.note_received();
        let now = Instant::now();
        let own = core.origin();
        let unknown = core.members.borrow_mut().apply_roster(part, own, now);
        core.state_learned.notify_waiters();
        if !unknown.is_empty() {
            send_message(core, socket, &GossipMessage::MembersRequest(unknown), from).await;
        }
    }
}

/// Sends what the nodes with these tags announced.
pub(crate) async fn send_members(
    core: &EntryCore,
    socket: &UdpSocket,
    own: impl FnOnce() -> MemberInfo,
    tags: &[ShortTag],
    to: SocketAddrV4,
) {
    let mut infos = core.members.borrow().infos_by_tag(tags);
    if tags.contains(&core.origin()) {
        infos.push(own());
    }
    for part in infos.chunks(MAX_MEMBERS) {
        send_message(core, socket, &GossipMessage::Members(part.to_vec()), to).await;
    }
}

/// Adds nodes that a roster named.
pub(crate) fn handle_members(core: &EntryCore, infos: Vec<MemberInfo>, from: SocketAddrV4) {
    if !is_from_own_region(core, from) {
        return;
    }
    for info in infos {
        if info.node == core.settings.name {
            continue;
        }
        let (node, region, stage) = (info.node.clone(), info.region.clone(), info.stage);
        let mut targets = core.heartbeat_targets.borrow_mut();
        targets.add(info.peer, Some(&region));
        drop(targets);
        let (is_new, replaced) = core.members.borrow_mut().learn(info);
        if let Some(incarnation) = replaced {
            record_node_failure(core, &node, incarnation);
        }
        if is_new {
            core.log.write(
                "member",
                serde_json::json!({"member": node, "region": region, "stage": stage}),
            );
        }
    }
    core.state_learned.notify_waiters();
}

/// Returns a few random nodes of the region, so that nodes that start together do not all ask the
/// same ones.
fn startup_sources(core: &EntryCore, now: Instant) -> Vec<SocketAddrV4> {
    let members = core.members.borrow();
    let known = members.recent_in(&core.settings.region, now);
    let chosen = known.sample(&mut rand::rng(), STARTUP_SOURCES);
    chosen.map(|(info, _)| info.peer).collect()
}

fn encode_roster(core: &EntryCore, own: &MemberInfo, now: Instant) -> Vec<Vec<u8>> {
    let members = core.members.borrow();
    if members.recent_in(&own.region, now).len() <= MAX_MESH_NODES {
        return Vec::new();
    }
    let mut parts = Vec::new();
    for part in members.roster(own, ROSTER_REUSE_TIME, now) {
        let progress = postcard::to_allocvec(&part.store_progress).unwrap_or_default();
        if let Ok(mut bytes) = postcard::to_allocvec(&GossipMessage::Roster(part)) {
            bytes.extend(progress);
            parts.push(bytes);
        }
    }
    parts
}
