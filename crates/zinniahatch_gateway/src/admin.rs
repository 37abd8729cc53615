//! Handlers of the administration API.

use crate::GatewayCore;
use crate::NodeStatus;
use crate::admin_change::change_account;
use crate::admin_change::change_config;
use crate::core::epoch_seconds;
use crate::headers;
use crate::report_read::read_counts;
use crate::respond::write_json;
use futures_util::future::join_all;
use salvo::Request;
use salvo::Response;
use salvo::handler;
use salvo::http::StatusCode;
use serde::Serialize;
use std::sync::Arc;
use zinniahatch_base::digest_text;
use zinniahatch_base::prelude::*;
use zinniahatch_config::OperatorEntry;
use zinniahatch_report::ReportField;
use zinniahatch_report::ReportQuery;
use zinniahatch_report::run_query;

const SECONDS_PER_HOUR: u64 = 3_600;

/// Handles every path below `/admin/`.
pub(crate) struct AdminHandler(pub(crate) Arc<GatewayCore>);

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

#[derive(Serialize)]
struct ConfigBody {
    revision: Revision,
    preset: PresetId,
    parts: BTreeMap<Box<str>, Box<str>>,
}

#[derive(Serialize)]
struct BackendBody {
    replica: ReplicaId,
    service: ServiceId,
    data_centre: DataCentreId,
    address: Box<str>,
    slots: u16,
    held: u16,
    running: u16,
    usable: bool,
}

#[derive(Serialize)]
struct PoolBody {
    service: ServiceId,
    keeper: Option<NodeId>,
    capacity: u32,
    free: u32,
    waiting: u32,
    held: u32,
    running: u32,
}

#[derive(Serialize)]
struct StatusBody {
    brief: NodeStatus,
    pools: Vec<PoolBody>,
    remotes: BTreeMap<DataCentreId, u64>,
    lease_lapses: u64,
}

#[handler]
impl AdminHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let core = &self.0;
        let Some(operator) = find_operator(core, request) else {
            return fail(response, StatusCode::UNAUTHORIZED, "the token is not known");
        };
        let path = request.param::<String>("rest").unwrap_or_default();
        match (request.method().as_str(), path.as_str()) {
            ("GET", "status") => write_json(response, &status(core)),
            ("GET", "cluster") => write_json(response, &cluster(core).await),
            ("GET", "config") => write_json(response, &config(core)),
            ("GET", "history") => write_json(response, &core.control().syncer().head().changes),
            ("GET", "backends") => write_json(response, &backends(core)),
            ("GET", "accounts") => write_json(response, &accounts(core, &operator)),
            ("GET", "report") => report(core, &operator, request, response).await,
            ("POST", "config") => change_config(core, &operator, request, response).await,
            ("POST", "accounts") => change_account(core, &operator, request, response).await,
            _ => fail(response, StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

fn find_operator(core: &GatewayCore, request: &Request) -> Option<OperatorEntry> {
    let token = headers::bearer(request.headers())?;
    let config = core.control().config();
    config.operators.get(&digest_text(token)).cloned()
}

pub(crate) fn fail(response: &mut Response, status: StatusCode, error: &str) {
    response.status_code(status);
    write_json(response, &ErrorBody { error });
}

fn status(core: &GatewayCore) -> StatusBody {
    let brief = core.node_status();
    let control = core.control();
    let now = Instant::now();
    let pools = control
        .pools()
        .values()
        .map(|pool| {
            let slots = control.leases().slots(&pool.service);
            PoolBody {
                service: pool.service.clone(),
                keeper: control.leases().coordinator(&pool.service).cloned(),
                capacity: pool.capacity,
                free: pool.free,
                waiting: pool.waiting,
                held: slots.values().map(|slot| u32::from(slot.limit)).sum(),
                running: slots.values().map(|slot| u32::from(slot.running)).sum(),
            }
        })
        .collect();
    let remotes = control
        .remotes()
        .data_centres()
        .iter()
        .map(|(name, centre)| {
            (
                name.clone(),
                now.duration_since(centre.received_at).as_millis() as u64,
            )
        })
        .collect();
    StatusBody {
        brief,
        pools,
        remotes,
        lease_lapses: control.expired_leases(),
    }
}

/// Collects the status of every node that this one knows, in all data centres.
async fn cluster(core: &GatewayCore) -> Vec<NodeStatus> {
    let mut addresses: BTreeSet<Box<str>> = BTreeSet::new();
    {
        let control = core.control();
        addresses.extend(
            control
                .entries(Instant::now())
                .into_iter()
                .map(|entry| entry.http),
        );
        for centre in control.remotes().data_centres().values() {
            addresses.extend(centre.entries.iter().map(|entry| entry.http.clone()));
        }
    }
    addresses.insert(core.identity.http.clone());
    let fetches = addresses.iter().map(|http| core.fetch_node_status(http));
    join_all(fetches).await.into_iter().flatten().collect()
}

fn config(core: &GatewayCore) -> ConfigBody {
    let control = core.control();
    ConfigBody {
        revision: control.syncer().revision(),
        preset: control.config().preset_name.clone(),
        parts: control.syncer().texts(),
    }
}

fn backends(core: &GatewayCore) -> Vec<BackendBody> {
    let mut control = core.control();
    let config = control.config();
    let now = Instant::now();
    let mut bodies = Vec::new();
    for (name, backend) in &config.backends {
        let tag = tag_of(name);
        let slot = control
            .leases()
            .slots(&backend.service)
            .get(&tag)
            .copied()
            .unwrap_or_default();
        bodies.push(BackendBody {
            replica: name.clone(),
            service: backend.service.clone(),
            data_centre: backend.data_centre.clone(),
            address: backend.address.clone(),
            slots: backend.slots,
            held: slot.limit,
            running: slot.running,
            usable: control.backends_mut().is_usable(now, tag),
        });
    }
    bodies
}

fn accounts(
    core: &GatewayCore,
    operator: &OperatorEntry,
) -> BTreeMap<AccountId, zinniahatch_config::AccountEntry> {
    let config = core.control().config();
    config
        .accounts
        .accounts
        .iter()
        .filter(|(_, account)| operator.team.is_empty() || account.team == operator.team)
        .map(|(name, account)| (name.clone(), account.clone()))
        .collect()
}

async fn report(
    core: &GatewayCore,
    operator: &OperatorEntry,
    request: &Request,
    response: &mut Response,
) {
    let hour = epoch_seconds() / SECONDS_PER_HOUR;
    let until = request.query::<u64>("until").unwrap_or(hour);
    let from = request
        .query::<u64>("from")
        .unwrap_or(until.saturating_sub(23));
    let mut by = Vec::new();
    for word in request
        .query::<String>("by")
        .unwrap_or_default()
        .split(',')
        .filter(|word| !word.is_empty())
    {
        let Some(field) = ReportField::parse(word) else {
            return fail(
                response,
                StatusCode::BAD_REQUEST,
                &format!(
                    "`{word}` is no field; the fields are: {}",
                    ReportField::NAMES
                ),
            );
        };
        by.push(field);
    }
    if from > until {
        return fail(response, StatusCode::BAD_REQUEST, "`from` is after `until`");
    }
    let own = (!operator.team.is_empty()).then(|| accounts(core, operator).into_keys().collect());
    let counts = read_counts(core, from, until).await;
    let query = ReportQuery {
        by,
        from,
        until,
        accounts: own,
    };
    write_json(
        response,
        &run_query(&query, &counts.table, counts.gaps, counts.unread),
    );
}
