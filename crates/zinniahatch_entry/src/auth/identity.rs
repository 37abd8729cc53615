//! Identification of the client account of a request, and validation of its key.

use crate::core::EntryCore;
use crate::request::received::ForwardedAccount;
use crate::request::received::ReceivedRequest;
use crate::request::received::RequestOrigin;
use std::rc::Rc;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::Credential;
use zinniahatch_route::AccountTable;
use zinniahatch_route::DesiredAccount;
use zinniahatch_route::DesiredRoute;
use zinniahatch_route::KeyLookup;

/// The account that a request is served for, and the key that identified it.
#[derive(Clone, Debug)]
pub(crate) struct RequestIdentity {
    pub(crate) account: Rc<DesiredAccount>,
    pub(crate) key: KeyDigest,
    /// Version of the desired state in which the key was found.
    pub(crate) version: u64,
}

/// Identifies the account of a request; returns `None` if the route or the deployment does not
/// require one.
pub(crate) fn identify(
    core: &EntryCore,
    request: &ReceivedRequest,
    route: &DesiredRoute,
) -> Result<Option<RequestIdentity>, ResultCode> {
    let table = core.identities.borrow().clone();
    if let RequestOrigin::Forwarded(info) = &request.origin {
        if let Some(account) = &info.account {
            return identify_forwarded(core, account, info.version, &table).map(Some);
        }
        // The forwarding node required no account; this node does so if it has a newer desired
        // state.
        if info.version >= core.version() {
            return Ok(None);
        }
    }
    if !table.requires_key() {
        return Ok(None);
    }
    identify_caller(core, request, route, &table)
}

fn identify_caller(
    core: &EntryCore,
    request: &ReceivedRequest,
    route: &DesiredRoute,
    table: &AccountTable,
) -> Result<Option<RequestIdentity>, ResultCode> {
    if route.open && request.credential == Credential::Missing {
        return Ok(None);
    }
    if !core.trusts_keys() {
        core.metrics.note_refused_key("unproven");
        return Err(ResultCode::KeysUnproven);
    }
    let problem = match request.credential {
        Credential::Key(key) => match table.find(&key) {
            KeyLookup::Known(account) => {
                return Ok(Some(RequestIdentity {
                    account,
                    key,
                    version: core.version(),
                }));
            }
            KeyLookup::Revoked => "revoked",
            KeyLookup::Unknown => "unknown",
        },
        Credential::Missing => "missing",
        Credential::Malformed => "malformed",
    };
    if route.open {
        return Ok(None);
    }
    core.metrics.note_refused_key(problem);
    core.log.write(
        "key-refused",
        serde_json::json!({"request": request.attempt, "reason": problem, "version": core.version()}),
    );
    Err(ResultCode::BadCredential)
}

/// Accepts the forwarding node's identification, unless this node has an equal or newer version
/// that contradicts it.
fn identify_forwarded(
    core: &EntryCore,
    forwarded: &ForwardedAccount,
    version: u64,
    table: &AccountTable,
) -> Result<RequestIdentity, ResultCode> {
    if core.version() >= version && !table.holds(&forwarded.key, &forwarded.name) {
        core.metrics.note_refused_key("revoked");
        return Err(ResultCode::BadCredential);
    }
    let account = table.named(&forwarded.name).cloned().unwrap_or_else(|| {
        // The forwarding node chose this region by the account's homes, which are not known here
        // yet.
        Rc::new(DesiredAccount {
            name: forwarded.name.clone(),
            keys: BTreeSet::new(),
            priority: None,
            homes: BTreeSet::new(),
            allowance: None,
        })
    });
    Ok(RequestIdentity {
        account,
        key: forwarded.key,
        version,
    })
}

/// Returns whether the key of a request is still valid, before the request is sent again.
///
/// The key may have been revoked while the request waited or was tried elsewhere, or before its
/// interrupted stream resumes.
pub(crate) fn key_still_valid(core: &EntryCore, identity: Option<&RequestIdentity>) -> bool {
    let Some(identity) = identity else {
        return true;
    };
    let table = core.identities.borrow();
    let name = &identity.account.name;
    let valid = table.still_holds(&identity.key, name, identity.version, core.version());
    if !valid {
        core.metrics.note_refused_key("revoked");
    }
    valid
}
