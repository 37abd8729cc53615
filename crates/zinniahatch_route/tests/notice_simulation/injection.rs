//! Injects faults of the nodes and the store, and starts and ends the notices of the replicas.

use super::Event;
use super::NoticeSimulation;
use super::STEP;
use super::SendMutation;
use super::SimulatedNode;
use super::SimulatedReplica;
use super::WARMUP;
use super::incarnation_of;
use super::replica_id;
use crate::common::entry;
use rand::RngExt;
use std::time::Duration;
use zinniahatch_route::ReplicaEntry;

impl<M: SendMutation> NoticeSimulation<M> {
    pub(super) fn inject_faults(&mut self) {
        let chance = self.config.fault_chance;
        let node = self.rng.random_range(0..self.nodes.len());
        if self.chance(chance) {
            self.run_count += 1;
            let restart_at = self.time + self.random_millis(300..3_000);
            self.nodes[node] = SimulatedNode::new(self.run_count, restart_at);
            self.nodes[node].dead_until = restart_at;
            self.checker.note_fault(node, self.time, restart_at);
            let delay = restart_at.saturating_sub(self.time) + STEP;
            self.schedule(delay, Event::ListEntries(node));
        }
        if self.chance(chance) {
            let until = self.time + self.random_millis(300..3_000);
            self.nodes[node].frozen_until = self.nodes[node].frozen_until.max(until);
            self.checker.note_fault(node, self.time, until);
        }
        if self.chance(chance) {
            let until = self.time + self.random_millis(300..5_000);
            self.nodes[node].partitioned_until = self.nodes[node].partitioned_until.max(until);
            self.checker.note_partition(node, self.time, until);
            let delay = until.saturating_sub(self.time) + STEP;
            self.schedule(delay, Event::ListEntries(node));
        }
        if self.chance(chance) && !self.store.is_unavailable(self.time) {
            let until = self.time + self.random_millis(500..6_000);
            let backup_age = self.chance(0.4).then(|| self.random_millis(1_000..5_000));
            self.store.begin_outage(self.time, until, backup_age);
        }
    }

    /// Lets replicas start to leave, request backoffs or state a limit.
    pub(super) fn start_notices(&mut self) {
        for replica in 0..self.replicas.len() {
            self.end_notices(replica);
            if !self.chance(self.config.notice_chance) {
                continue;
            }
            match self.rng.random_range(0..4) {
                0 if self.replicas[replica].leaving.is_none() => {
                    let ends_at = self.time + self.random_millis(5_000..10_000);
                    self.replicas[replica].leaving = Some(ends_at);
                    // Its entry shows this later, is removed and written again, or stays as it is.
                    let incarnation = self.replicas[replica].incarnation;
                    match self.rng.random_range(0..3) {
                        0 => {
                            let delay = self.random_millis(0..3_000);
                            self.schedule(delay, Event::WriteEntry(replica, incarnation));
                        }
                        1 => {
                            self.remove_entry(replica);
                            let delay = self.random_millis(500..3_000);
                            self.schedule(delay, Event::WriteEntry(replica, incarnation));
                        }
                        _ => {}
                    }
                }
                1 => {
                    let until = self.time + self.random_millis(200..4_000);
                    let max_backoff = self.rng.random_range(0.3..4.0);
                    self.replicas[replica].backoff = Some((until, max_backoff));
                }
                2 if self.replicas[replica].rate_limit.is_none() => {
                    let rate = self.rng.random_range(0.5..6.0);
                    self.replicas[replica].rate_limit = Some(rate);
                    self.replicas[replica].limit_until =
                        self.time + self.random_millis(8_000..14_000);
                    let tag = self.tag(replica);
                    self.checker.note_limit(tag, self.time, Some(rate));
                }
                _ => {}
            }
        }
    }

    pub(super) fn tag(&self, replica: usize) -> u32 {
        incarnation_of(replica, self.replicas[replica].incarnation).tag()
    }

    pub(super) fn end_notices(&mut self, replica: usize) {
        let time = self.time;
        let tag = self.tag(replica);
        let state = &mut self.replicas[replica];
        state.backoff = state.backoff.filter(|(until, _)| *until > time);
        if state.rate_limit.is_some() && state.limit_until <= time {
            state.rate_limit = None;
            self.checker.note_limit(tag, time, None);
        }
        if state.leaving.is_none_or(|ends_at| ends_at > time) {
            return;
        }
        // Its next incarnation starts under the same id, and is cold.
        if state.rate_limit.is_some() {
            self.checker.note_limit(tag, time, None);
        }
        *state = SimulatedReplica {
            incarnation: state.incarnation + 1,
            leaving: None,
            backoff: None,
            rate_limit: None,
            limit_until: Duration::ZERO,
            cold_until: time + WARMUP,
        };
        let cold_until = time + WARMUP;
        let tag = self.tag(replica);
        self.checker.note_cold(tag, cold_until);
        self.write_entry(replica);
    }

    /// Returns the store entry of a replica; for a leaving replica, half of them state that it
    /// leaves.
    pub(super) fn entry_of(&mut self, replica: usize) -> ReplicaEntry {
        let state = &self.replicas[replica];
        let (started_ms, cold_time) = (
            state.incarnation,
            state.cold_until.saturating_sub(self.time),
        );
        let leaving = state.leaving.is_some() && self.rng.random_bool(0.5);
        ReplicaEntry {
            id: replica_id(replica),
            started_ms,
            cold_for: cold_time,
            leaving,
            ..entry("r", "a")
        }
    }

    pub(super) fn write_entry(&mut self, replica: usize) {
        let entry = self.entry_of(replica);
        let Some(entry) = self.store.write(replica, entry, self.time) else {
            return;
        };
        for node in 0..self.nodes.len() {
            let delay = self.random_millis(5..300);
            self.schedule(delay, Event::Entry(node, entry.clone()));
        }
    }

    pub(super) fn remove_entry(&mut self, replica: usize) {
        let Some(revision) = self.store.remove(replica, self.time) else {
            return;
        };
        for node in 0..self.nodes.len() {
            let delay = self.random_millis(5..300);
            self.schedule(delay, Event::EntryRemoved(node, replica, revision));
        }
    }

    pub(super) fn run_store(&mut self) {
        let unavailable = self.store.is_unavailable(self.time);
        let recovery = self.store.tick(self.time);
        let now = self.now();
        if unavailable {
            for node in &mut self.nodes {
                node.table.note_store_failure(now);
            }
        }
        if !recovery.available {
            return;
        }
        for node in 0..self.nodes.len() {
            if recovery.restored {
                self.nodes[node].table.note_store_restored(now);
            }
            let delay = self.random_millis(5..600);
            self.schedule(delay, Event::ListEntries(node));
        }
        for replica in 0..self.replicas.len() {
            let (delay, incarnation) = (
                self.random_millis(0..2_000),
                self.replicas[replica].incarnation,
            );
            self.schedule(delay, Event::WriteEntry(replica, incarnation));
        }
    }

    pub(super) fn list_entries(&mut self, node: usize) {
        let now = self.now();
        if self.nodes[node].partitioned_until > self.time || self.store.is_unavailable(self.time) {
            return;
        }
        let (entries, revision) = self.store.list();
        for entry in &entries {
            self.nodes[node].mutation.note_entry(entry);
        }
        self.nodes[node].table.apply_listing(entries, revision, now);
    }
}
