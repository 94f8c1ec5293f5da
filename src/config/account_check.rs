//! Checks of the client accounts of a configuration.

use {
    super::AccountSpec,
    crate::ids::AccountName,
    http::HeaderValue,
    std::collections::{HashMap, hash_map::Entry},
    thiserror::Error,
};

/// Fault of a client account. It names keys by their position in the account, never by their text.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AccountFault {
    /// The name cannot be sent to targets.
    #[error(
        "account {account:?}: name is empty or not valid in a header; allowed: text without control characters and outer spaces"
    )]
    InvalidName {
        /// Account at fault.
        account: AccountName,
    },
    /// A key is empty.
    #[error(
        "account {account:?}: key {number} is empty; allowed: text without control characters and outer spaces"
    )]
    EmptyKey {
        /// Account at fault.
        account: AccountName,
        /// Position of the key, counted from 1.
        number: usize,
    },
    /// No caller could send a key.
    #[error(
        "account {account:?}: key {number} is not valid in a header; allowed: text without control characters and outer spaces"
    )]
    InvalidKey {
        /// Account at fault.
        account: AccountName,
        /// Position of the key, counted from 1.
        number: usize,
    },
    /// Two accounts hold the same key, so that it does not tell whose call it is.
    #[error(
        "account {account:?}: key {number} is also a key of account {other:?}; allowed: one account for a key"
    )]
    SharedKey {
        /// Later account in the order of names.
        account: AccountName,
        /// Position of the key in that account, counted from 1.
        number: usize,
        /// Earlier account.
        other: AccountName,
    },
}

/// Returns all faults of the accounts.
pub(super) fn find_faults<'a>(
    accounts: impl Iterator<Item = &'a AccountSpec>,
) -> Vec<AccountFault> {
    let mut faults = Vec::new();
    let mut holders: HashMap<&str, &AccountName> = HashMap::new();
    for spec in accounts {
        let account = &spec.account;
        if !is_header_text(account) {
            let account = account.clone();
            faults.push(AccountFault::InvalidName { account });
        }
        for (index, key) in spec.keys.iter().enumerate() {
            let fault = key_fault(account, index + 1, key.secret(), &mut holders);
            faults.extend(fault);
        }
    }
    faults
}

/// Returns the fault of one key, and records the account as its holder.
fn key_fault<'a>(
    account: &'a AccountName,
    number: usize,
    secret: &'a str,
    holders: &mut HashMap<&'a str, &'a AccountName>,
) -> Option<AccountFault> {
    let name = account.clone();
    if secret.is_empty() {
        return Some(AccountFault::EmptyKey {
            account: name,
            number,
        });
    }
    if !is_header_text(secret) {
        return Some(AccountFault::InvalidKey {
            account: name,
            number,
        });
    }
    match holders.entry(secret) {
        Entry::Occupied(holder) if *holder.get() != account => Some(AccountFault::SharedKey {
            account: name,
            number,
            other: holder.get().to_string(),
        }),
        Entry::Occupied(_) => None,
        Entry::Vacant(free) => {
            free.insert(account);
            None
        }
    }
}

/// Returns whether a text arrives unchanged as the value of a header: HTTP parsers remove white space at both ends.
fn is_header_text(text: &str) -> bool {
    !text.is_empty() && text.trim() == text && HeaderValue::from_str(text).is_ok()
}
