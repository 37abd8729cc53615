//! Requests to the entry VMs of a site, and what its replicas observed of them.

use super::CALL_TIMEOUT;
use super::HOST;
use super::SiteCluster;
use crate::test_doubles::limit_record::LimitRecord;
use crate::test_doubles::notice_record::NoticeRecord;
use crate::test_doubles::replica::StreamRun;
use futures_util::future::join_all;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use serde_json::Value;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use zinniahatch_base::prelude::*;

/// Load of callers that send requests to every entry VM in a loop.
#[derive(Clone, Copy, Debug)]
pub struct SiteLoad<'a> {
    /// The path of the requests.
    pub path: &'a str,
    /// Interval between requests to one entry VM.
    pub pause: Duration,
    /// How long a caller waits for a response.
    pub timeout: Duration,
}

/// Runs of streams at one replica.
#[derive(Clone, Debug)]
pub struct ReplicaRuns {
    /// The runs, in the order in which they began.
    pub runs: Vec<StreamRun>,
    /// When each silence of the link to the replica began and ended.
    pub holds: Vec<(Instant, Instant)>,
}

impl SiteCluster {
    /// Sends requests to every entry VM for a time and returns the responses received.
    ///
    /// The ids of the attempts start with `tag`.
    pub async fn load(&self, load: &SiteLoad<'_>, tag: &str, time: Duration) -> Vec<Response> {
        let nodes = (0..self.entries.len()).map(|node| self.load_node(node, load, tag, time));
        join_all(nodes).await.into_iter().flatten().collect()
    }

    async fn load_node(
        &self,
        node: usize,
        load: &SiteLoad<'_>,
        tag: &str,
        time: Duration,
    ) -> Vec<Response> {
        let mut ticks = interval(load.pause);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let began = Instant::now();
        let mut responses = Vec::new();
        for number in 0.. {
            ticks.tick().await;
            if began.elapsed() >= time {
                break;
            }
            let attempt = format!("{tag}-{node}-{number}");
            let request = self.request_with_timeout(node, load.path, &attempt, load.timeout);
            responses.extend(request.timeout(load.timeout).send().await);
        }
        responses
    }

    /// Queries an entry VM's directory for the addresses of a region.
    pub async fn resolve(&self, index: usize, region: &str) -> BTreeSet<Box<str>> {
        let address = &self.entries[index].addresses[3];
        let url = format!("http://{address}/resolve?name={HOST}&region={region}&zone={region}-a");
        let Ok(response) = Client::new().get(url).send().await else {
            return BTreeSet::new();
        };
        let body: serde_json::Value = response.json().await.unwrap_or_default();
        let list = body["addresses"].as_array().cloned().unwrap_or_default();
        list.iter()
            .filter_map(|address| address.as_str().map(Into::into))
            .collect()
    }

    /// Prepares a request to an entry VM with the default time of a caller.
    pub fn request(&self, index: usize, path: &str, attempt: &str) -> RequestBuilder {
        self.request_with_timeout(index, path, attempt, CALL_TIMEOUT)
    }

    /// Prepares a request to an entry VM that states `timeout` as the time the caller has left.
    pub fn request_with_timeout(
        &self,
        index: usize,
        path: &str,
        attempt: &str,
        timeout: Duration,
    ) -> RequestBuilder {
        let url = format!("http://{}{path}", self.entries[index].addresses[0]);
        Client::new()
            .get(url)
            .header("host", HOST)
            .header("x-attempt-id", attempt)
            .header("x-time-remaining", timeout.as_millis().to_string())
    }

    /// Returns, by request and replica, which entry VM sent the request there, as read from the
    /// decision logs.
    pub fn sending_nodes(&self) -> BTreeMap<(Box<str>, Box<str>), usize> {
        let mut sending_nodes = BTreeMap::new();
        for index in 0..self.entries.len() {
            for line in self.log(index).lines() {
                let Ok(line) = serde_json::from_str::<Value>(line) else {
                    continue;
                };
                let text = |key: &str| line[key].as_str().map(Box::<str>::from);
                if line["kind"] != "placed" {
                    continue;
                }
                if let (Some(request), Some(replica)) = (text("request"), text("replica")) {
                    sending_nodes.insert((request, replica), index);
                }
            }
        }
        sending_nodes
    }

    /// Returns the runs of streams at every replica incarnation.
    pub fn stream_runs(&self) -> Vec<ReplicaRuns> {
        let mut records: Vec<ReplicaRuns> = Vec::new();
        for ended in &self.retired {
            records.push(ReplicaRuns {
                runs: ended.observations.stream_runs.clone(),
                holds: ended.holds.clone(),
            });
        }
        for ((replica, _), (link, _)) in self.replicas.iter().zip(&self.links) {
            records.push(ReplicaRuns {
                runs: replica.observations().stream_runs,
                holds: link.holds(),
            });
        }
        records
    }

    /// Returns the notices of every replica incarnation, with its index and id.
    pub fn notice_records(&self) -> Vec<(usize, Box<str>, NoticeRecord)> {
        let running = self.replicas.iter().enumerate();
        let running =
            running.map(|(index, (fake, _))| (index, fake.id.clone(), fake.observations().notices));
        let ended = self.retired.iter().map(|ended| {
            let notices = ended.observations.notices.clone();
            (ended.position, ended.id.clone(), notices)
        });
        ended.chain(running).collect()
    }

    /// Returns the rate-limit records of all replicas, past and present, with their indices.
    pub fn limit_records(&self) -> Vec<(usize, LimitRecord)> {
        let current = self.replicas.iter().enumerate();
        let current = current.map(|(index, (replica, _))| (index, replica.observations().limits));
        let ended = self.retired.iter();
        let ended = ended.map(|ended| (ended.position, ended.observations.limits.clone()));
        current.chain(ended).collect()
    }

    /// Returns how often an attempt ran, summed over all replicas, past and present.
    pub fn runs(&self, attempt: &str) -> u32 {
        let current = self
            .replicas
            .iter()
            .map(|(replica, _)| replica.observations());
        current
            .chain(self.retired.iter().map(|ended| ended.observations.clone()))
            .filter_map(|observations| observations.runs.get(attempt).copied())
            .sum()
    }

    /// Returns the attempts that ran on a replica outside a region.
    pub fn runs_outside(&self, region: &str) -> BTreeSet<Box<str>> {
        let current = self
            .replicas
            .iter()
            .map(|(replica, home)| (*home, replica.observations()));
        let retired = self.retired.iter();
        let retired = retired.map(|ended| (ended.region, ended.observations.clone()));
        current
            .chain(retired)
            .filter(|(home, _)| *home != region)
            .flat_map(|(_, observations)| observations.runs.into_keys())
            .collect()
    }

    /// Returns when requests of callers reached replicas, past and present, and their attempts.
    pub fn arrivals(&self) -> Vec<(Instant, Box<str>)> {
        let current = self.replicas.iter();
        let current = current.map(|(replica, _)| replica.observations().arrivals);
        let retired = self.retired.iter();
        let retired = retired.map(|ended| ended.observations.arrivals.clone());
        current.chain(retired).flatten().collect()
    }

    /// Returns the number of runs of every attempt, summed over all replicas, past and present.
    pub fn all_runs(&self) -> BTreeMap<Box<str>, u32> {
        let mut sum = BTreeMap::new();
        let current = self
            .replicas
            .iter()
            .map(|(replica, _)| replica.observations());
        for observations in
            current.chain(self.retired.iter().map(|ended| ended.observations.clone()))
        {
            for (attempt, runs) in observations.runs {
                *sum.entry(attempt).or_default() += runs;
            }
        }
        sum
    }
}
