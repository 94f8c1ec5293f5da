//! Client account in whose name a call comes: checks the key of the call.

use {
    super::NOT_READY_RETRY_AFTER,
    crate::{
        accounts::key_trust::{KeyDoubt, KeyKnowledge},
        active_config::ActiveConfig,
        config::{AccountSpec, HostRoute},
        mesh::{context::MeshContext, refusal::MeshRefusal},
    },
    http::{HeaderMap, HeaderValue, StatusCode},
    std::{sync::Arc, time::Duration},
};

/// `Retry-After` while the store has not confirmed the configuration; nodes that have lost the store ask it about as
/// often.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the account that holds the key of a call; none if the configuration has no accounts, or if the route is
/// public and the call carries no valid key.
pub(super) fn identify_account(
    context: &MeshContext,
    config: &ActiveConfig,
    route: &HostRoute,
    headers: &HeaderMap,
) -> Result<Option<Arc<AccountSpec>>, MeshRefusal> {
    if !config.keys().has_accounts() {
        return Ok(None);
    }
    match find_account(context, config, headers) {
        Ok(account) => Ok(Some(account)),
        Err(_) if route.public => Ok(None),
        Err(refusal) => Err(refusal),
    }
}

/// Returns the account that holds the key of a call. A missing, repeated, unknown or withdrawn key gets the same
/// refusal, so that it does not show which keys ever existed.
fn find_account(
    context: &MeshContext,
    config: &ActiveConfig,
    headers: &HeaderMap,
) -> Result<Arc<AccountSpec>, MeshRefusal> {
    let unknown = || MeshRefusal::rejected(StatusCode::UNAUTHORIZED, "unknown-key");
    let sent = sent_key(context, headers).ok_or_else(unknown)?;
    let bounds = &context.settings.bounds.key;
    let longest_age = bounds.strict.then_some(bounds.revocation_time);
    key_knowledge(context)
        .check(longest_age)
        .map_err(refuse_keys)?;
    config.keys().find(sent.as_bytes()).ok_or_else(unknown)
}

/// Returns the key that a call carries; none if it has no or several headers with keys.
fn sent_key<'a>(context: &MeshContext, headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
    let mut sent = headers
        .get_all(&context.settings.headers.account_key)
        .iter();
    let first = sent.next()?;
    sent.next().is_none().then_some(first)
}

fn key_knowledge(context: &MeshContext) -> KeyKnowledge {
    let told = *context.remembered_version.lock();
    // Members also claim this node's earlier version in gossip, for example when they declare it dead.
    let claimed = {
        let members = context.board.members.lock();
        members.floor_of(&context.settings.node.id)
    };
    KeyKnowledge {
        version: context.board.gate.version(),
        remembered_version: told.map(|told| told.max(claimed)),
        confirmation_age: context.gossip.store_confirmation_age(),
    }
}

fn refuse_keys(doubt: KeyDoubt) -> MeshRefusal {
    match doubt {
        KeyDoubt::Outdated => MeshRefusal::not_run("account-keys-outdated", NOT_READY_RETRY_AFTER),
        KeyDoubt::Unconfirmed => {
            MeshRefusal::not_run("account-keys-unconfirmed", UNCONFIRMED_RETRY_AFTER)
        }
    }
}
