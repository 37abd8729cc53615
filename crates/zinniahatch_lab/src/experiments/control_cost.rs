//! Cost of the control plane per node as the system grows, measured with real daemons on loopback.

use crate::cluster::ClusterOptions;
use crate::cluster::LabCluster;
use crate::experiments::overhead::cpu_seconds;
use crate::experiments::overhead::resident_bytes;
use crate::operator::AdminClient;
use crate::users;
use crate::users::RegionPlan;
use crate::users::UserPlan;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reqwest::Client;
use serde::Serialize;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::sleep_until;
use zinniahatch_base::digest_text;
use zinniahatch_base::prelude::*;
use zinniahatch_config::split_accounts;

/// Overhead of a frame on TCP over IPv4, in bytes and for both directions: two segments (data and
/// acknowledgement) with 20 bytes of IP and 32 of TCP with timestamps, and nng's 8-byte length.
const FRAME_OVERHEAD: f64 = 52.0 * 2.0 + 8.0;
/// Warm-up time before the measurement.
const WARM_UP: Duration = Duration::from_secs(8);

/// Size of a measured cluster; `axis` names what differs from `BASE`.
#[derive(Clone, Copy, Debug, Serialize)]
struct ClusterSize {
    axis: &'static str,
    members: usize,
    replicas: usize,
    services: usize,
    accounts: usize,
    centres: usize,
    change_every: u64,
    requests: u64,
}

/// Cost per node: the mean and the maximum over the members of the first data centre.
#[derive(Clone, Copy, Debug, Serialize)]
struct ControlCost {
    size: ClusterSize,
    cpu_percent: f64,
    cpu_worst: f64,
    tick_percent: f64,
    resident_mb: f64,
    resident_worst: f64,
    bytes_out: f64,
    bytes_worst: f64,
    frames_out: f64,
    store_calls: f64,
}

const BASE: ClusterSize = ClusterSize {
    axis: "base",
    members: 3,
    replicas: 16,
    services: 2,
    accounts: 100,
    centres: 1,
    change_every: 0,
    requests: 0,
};
/// The design size: 330 nodes and 3,800 replicas in 24 data centres, which is 14 and 158 in each.
const DESIGN: ClusterSize = ClusterSize {
    axis: "design",
    members: 14,
    replicas: 158,
    services: 10,
    accounts: 4_000,
    centres: 24,
    change_every: 35,
    requests: 0,
};

/// Measures all points; returns 0, since no violation is defined for them.
pub async fn run(seconds: u64, only: Option<&str>) -> usize {
    let mut points = vec![BASE];
    points.extend([2, 6, 10, 14].map(|members| ClusterSize {
        axis: "members",
        members,
        ..BASE
    }));
    points.extend([64, 158].map(|replicas| ClusterSize {
        axis: "replicas",
        replicas,
        ..BASE
    }));
    points.extend([5, 10].map(|services| ClusterSize {
        axis: "services",
        services,
        ..BASE
    }));
    points.extend([1_000, 4_000].map(|accounts| ClusterSize {
        axis: "accounts",
        accounts,
        ..BASE
    }));
    points.extend([4, 12, 24].map(|centres| ClusterSize {
        axis: "centres",
        centres,
        ..BASE
    }));
    points.extend([8, 2].map(|change_every| ClusterSize {
        axis: "changes",
        change_every,
        ..BASE
    }));
    points.extend([16, 64].map(|requests| ClusterSize {
        axis: "requests",
        accounts: 4_000,
        requests,
        ..BASE
    }));
    points.push(DESIGN);
    let mut lines = Vec::new();
    for point in points
        .into_iter()
        .filter(|point| only.is_none_or(|axis| axis == point.axis))
    {
        let line = measure(point, Duration::from_secs(seconds)).await;
        println!(
            "{:<9} members {:>2} replicas {:>3} services {:>2} accounts {:>4} centres {:>2} change every {:>2} s requests {:>2}/s: cpu {:.2}% (worst {:.2}%, ticks {:.2}%), {:.1} MB (worst {:.1}), {:.0} B/s (worst {:.0}), {:.1} frames/s, store {:.2} calls/s of all",
            point.axis,
            point.members,
            point.replicas,
            point.services,
            point.accounts,
            point.centres,
            point.change_every,
            point.requests,
            line.cpu_percent,
            line.cpu_worst,
            line.tick_percent,
            line.resident_mb,
            line.resident_worst,
            line.bytes_out,
            line.bytes_worst,
            line.frames_out,
            line.store_calls
        );
        lines.push(line);
    }
    println!(
        "{}",
        json!({"experiment": "control-cost", "violations": 0, "lines": lines})
    );
    0
}

async fn measure(point: ClusterSize, time: Duration) -> ControlCost {
    let options = ClusterOptions {
        log_level: "warn",
        merge: Duration::from_secs(60),
        seal: Duration::from_secs(10),
        shared_backends: true,
        ..ClusterOptions::default()
    };
    let cluster = LabCluster::start(build_plan(point), &options).await;
    sleep(WARM_UP).await;
    let client = Client::new();
    let before = read_counters(&client, &cluster, point.members).await;
    let calls = cluster.store.calls().0;
    let started = Instant::now();
    tokio::join!(
        run_changes(&cluster, point, time),
        run_requests(&cluster, point, time)
    );
    let elapsed = started.elapsed().as_secs_f64();
    let calls = (cluster.store.calls().0 - calls) as f64 / elapsed;
    let after = read_counters(&client, &cluster, point.members).await;
    let rates: Vec<[f64; 5]> = before
        .iter()
        .zip(&after)
        .map(|(old, new)| {
            let rate = |index: usize| (new[index] - old[index]) / elapsed;
            [
                rate(0) * 100.0,
                rate(1) / 1e7,
                new[2] / 1e6,
                rate(3) + rate(4) * FRAME_OVERHEAD,
                rate(4),
            ]
        })
        .collect();
    let mean =
        |index: usize| rates.iter().map(|rate| rate[index]).sum::<f64>() / rates.len() as f64;
    let worst = |index: usize| rates.iter().map(|rate| rate[index]).fold(0.0, f64::max);
    ControlCost {
        size: point,
        cpu_percent: mean(0),
        cpu_worst: worst(0),
        tick_percent: mean(1),
        resident_mb: mean(2),
        resident_worst: worst(2),
        bytes_out: mean(3),
        bytes_worst: worst(3),
        frames_out: mean(4),
        store_calls: calls,
    }
}

/// Reads of each node the CPU seconds, nanoseconds in control ticks, resident bytes, frame bytes
/// and frames.
async fn read_counters(client: &Client, cluster: &LabCluster, members: usize) -> Vec<[f64; 5]> {
    let mut lines = Vec::new();
    for index in 0..members {
        let process = cluster.process(index).unwrap_or(0);
        let request = client.get(format!("http://{}/metrics", cluster.nodes[index].http));
        let text = match request.send().await {
            Ok(response) => response.text().await.unwrap_or_default(),
            Err(_) => String::new(),
        };
        let value = |start: &str| {
            let line = text.lines().find(|line| {
                line.starts_with(start)
                    && (!start.contains("frame") || line.contains("direction=\"out\""))
            });
            line.and_then(|line| line.rsplit(' ').next())
                .and_then(|field| field.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        lines.push([
            cpu_seconds(process),
            value("zinnia_control_nanos_total"),
            resident_bytes(process) as f64,
            value("zinnia_frame_bytes_total"),
            value("zinnia_frames_total"),
        ]);
    }
    lines
}

/// Waits for `time` and meanwhile changes one account every `change_every` seconds.
async fn run_changes(cluster: &LabCluster, point: ClusterSize, time: Duration) {
    let until = Instant::now() + time;
    if point.change_every == 0 {
        sleep(time).await;
        return;
    }
    let operator = AdminClient::new(cluster, 0, &cluster.plan.chief);
    let mut number = 0;
    // The first change comes after half an interval, so that the expected number fits into the time.
    let mut next = Instant::now() + Duration::from_secs(point.change_every) / 2;
    while next < until {
        sleep(next.saturating_duration_since(Instant::now())).await;
        next += Duration::from_secs(point.change_every);
        number += 1;
        add_account(&operator, number).await;
    }
    sleep(until.saturating_duration_since(Instant::now())).await;
}

/// Sends short model requests to each member of the first data centre. The account of each request is
/// drawn uniformly, which gives the largest number of usage count rows.
async fn run_requests(cluster: &LabCluster, point: ClusterSize, time: Duration) {
    if point.requests == 0 {
        return;
    }
    let client = Client::new();
    let mut random = StdRng::seed_from_u64(1);
    let mut tasks = JoinSet::new();
    let rate = point.requests as f64 * point.members as f64;
    let started = tokio::time::Instant::now();
    for number in 0..(rate * time.as_secs_f64()) as u64 {
        sleep_until(started + Duration::from_secs_f64(number as f64 / rate)).await;
        let node = &cluster.nodes[number as usize % point.members];
        let url = format!(
            "http://{}/s/model-{}/v1/chat/completions",
            node.http,
            random.random_range(0..point.services)
        );
        let key = account_key(random.random_range(0..point.accounts));
        let body =
            json!({"stream": true, "max_tokens": 1, "messages": [{"content": "operation=1;"}]});
        let request = client.post(url).bearer_auth(key).json(&body);
        tasks.spawn(async move {
            if let Ok(response) = request.send().await {
                let _ = response.bytes().await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}

fn account_key(account: usize) -> String {
    format!("cost-key-{account}")
}

/// Adds one account.
async fn add_account(operator: &AdminClient, number: u32) {
    let request = json!({"change": format!("cost-{number}"), "expect_revision": operator.revision().await, "account": format!("account-{number}"), "home": "region-0", "class": "standard", "team": "t", "in_progress_limit": number});
    operator.post("accounts", &request).await;
}

/// Builds a system of this size: the first data centre has all members and replicas, each other
/// data centre has one entry VM and one replica of each service.
fn build_plan(point: ClusterSize) -> UserPlan {
    let mut plan = users::aqsu();
    plan.callers.clear();
    let mut topology = String::new();
    let mut regions = Vec::new();
    for index in 0..point.centres {
        topology.push_str(&format!(
            "[region region-{index}]\ndata_centres = centre-{index}\n"
        ));
        regions.push(RegionPlan {
            region: format!("region-{index}").into(),
            data_centre: format!("centre-{index}").into(),
            entries: if index == 0 { point.members } else { 1 },
        });
    }
    let mut services = String::new();
    let mut backends = String::new();
    for service in 0..point.services {
        services.push_str(&format!("[service model-{service}]\nkind = engine\nbinding = free\nrepeat = repeatable\ndeadline = 60s\ntypical_hold = 19s\n"));
        let own = point.replicas / point.services
            + usize::from(service < point.replicas % point.services);
        for replica in 0..own {
            backends.push_str(&format!("[backend model-{service}-replica-{replica}]\nservice = model-{service}\ndata_centre = centre-0\naddress = http://10.0.0.1:1\nslots = 104\n"));
        }
        for centre in 1..point.centres {
            backends.push_str(&format!("[backend model-{service}-centre-{centre}]\nservice = model-{service}\ndata_centre = centre-{centre}\naddress = http://10.0.0.1:1\nslots = 104\n"));
        }
    }
    let mut accounts = String::new();
    for account in 0..point.accounts {
        accounts.push_str(&format!("[account account-{account}]\nhome = region-0\nclass = standard\nteam = t\n[caller caller-{account}]\naccount = account-{account}\nkey_digest = {}\n", digest_text(&account_key(account))));
    }
    plan.regions = regions;
    plan.parts.retain(|name, _| &**name == "operators");
    plan.parts.insert("topology".into(), topology.into());
    plan.parts.insert("services".into(), services.into());
    plan.parts.insert("backends".into(), backends.into());
    plan.parts.insert("preset-ordinary".into(), "[preset]\ntitle = cost\n[weights]\ncost = 1\ntail = 1\n[classes]\nstandard = 1\n[work]\ninteractive = 0.5\n[away]\nallowed = yes\n[waits]\nwait_limit = 60s\n[budgets]\nretry = 0.1\nhedge = 0\n".into());
    for (shard, text) in
        split_accounts("accounts", &accounts).expect("the generated accounts are valid")
    {
        plan.parts.insert(shard, text.into());
    }
    plan
}
