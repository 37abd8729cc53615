//! Who asks: the client account of a request, and whether its key still counts.

use crate::core::EntryCore;
use crate::request::received::AccountNote;
use crate::request::received::ReceivedCall;
use crate::request::received::RequestHop;
use std::rc::Rc;
use zinniahatch_base::prelude::*;
use zinniahatch_platform::Credential;
use zinniahatch_route::AccountTable;
use zinniahatch_route::DesiredAccount;
use zinniahatch_route::DesiredRoute;
use zinniahatch_route::KeyVerdict;

/// The account that a request is served for, and the key by which that was found.
#[derive(Clone, Debug)]
pub(crate) struct CallIdentity {
    pub(crate) account: Rc<DesiredAccount>,
    pub(crate) key: KeyDigest,
    /// The version of the desired state by which the key was found.
    pub(crate) version: u64,
}

/// Finds who asks; none where the route or the deployment does not ask for that.
pub(crate) fn identify(
    core: &EntryCore,
    call: &ReceivedCall,
    route: &DesiredRoute,
) -> Result<Option<CallIdentity>, ResultCode> {
    let table = core.identities.borrow().clone();
    if let RequestHop::Forwarded(note) = &call.hop {
        if let Some(account) = &note.account {
            return identify_forwarded(core, account, note.version, &table).map(Some);
        }
        // Nobody was asked for there; a node that is ahead may know better.
        if note.version >= core.version() {
            return Ok(None);
        }
    }
    if !table.requires_key() {
        return Ok(None);
    }
    identify_caller(core, call, route, &table)
}

fn identify_caller(
    core: &EntryCore,
    call: &ReceivedCall,
    route: &DesiredRoute,
    table: &AccountTable,
) -> Result<Option<CallIdentity>, ResultCode> {
    if route.open && call.credential == Credential::Missing {
        return Ok(None);
    }
    if !core.trusts_keys() {
        core.metrics.note_key("unproven");
        return Err(ResultCode::KeysUnproven);
    }
    let problem = match call.credential {
        Credential::Key(key) => match table.find(&key) {
            KeyVerdict::Known(account) => {
                return Ok(Some(CallIdentity {
                    account,
                    key,
                    version: core.version(),
                }));
            }
            KeyVerdict::Revoked => "revoked",
            KeyVerdict::Unknown => "unknown",
        },
        Credential::Missing => "missing",
        Credential::Malformed => "malformed",
    };
    if route.open {
        return Ok(None);
    }
    core.metrics.note_key(problem);
    core.log.write(
        "key-refused",
        serde_json::json!({"request": call.attempt, "reason": problem, "version": core.version()}),
    );
    Err(ResultCode::BadCredential)
}

/// Takes the word of the node before, unless this one follows a version that is as new and says otherwise.
fn identify_forwarded(
    core: &EntryCore,
    note: &AccountNote,
    version: u64,
    table: &AccountTable,
) -> Result<CallIdentity, ResultCode> {
    if core.version() >= version && !table.holds(&note.key, &note.name) {
        core.metrics.note_key("revoked");
        return Err(ResultCode::BadCredential);
    }
    let account = table.named(&note.name).cloned().unwrap_or_else(|| {
        // The node before chose this region by the homes, which are not known here yet.
        Rc::new(DesiredAccount {
            name: note.name.clone(),
            keys: BTreeSet::new(),
            priority: None,
            homes: BTreeSet::new(),
            allowance: None,
        })
    });
    Ok(CallIdentity {
        account,
        key: note.key,
        version,
    })
}

/// Tells whether the key of a request still counts, before it is sent once more.
///
/// It may have been taken away while the request waited, was tried elsewhere, or its stream was broken off.
pub(crate) fn still_counts(core: &EntryCore, identity: Option<&CallIdentity>) -> bool {
    let Some(identity) = identity else {
        return true;
    };
    let table = core.identities.borrow();
    let name = &identity.account.name;
    let counts = table.still_holds(&identity.key, name, identity.version, core.version());
    if !counts {
        core.metrics.note_key("revoked");
    }
    counts
}
