//! Lookup of the client account that holds a key.

use {
    crate::config::AccountSpec,
    sha2::{Digest, Sha256},
    std::{collections::HashMap, sync::Arc},
    subtle::ConstantTimeEq,
};

/// SHA-256 of the text of a key.
type KeyDigest = [u8; 32];

/// Account that holds a key.
#[derive(Clone, Debug)]
struct KeyHolder {
    account: Arc<AccountSpec>,
    /// Index of the key in the `keys` of the account.
    position: usize,
}

/// The client accounts of one configuration with an index by key.
///
/// A lookup by digest takes a time that tells nothing about the keys: a caller cannot choose the digest of what it
/// sends. The key itself is then compared in constant time.
#[derive(Default, derive_more::Debug)]
pub struct KeyIndex {
    /// Holds every key of every account. Digests are not printed, since short keys could be guessed from them.
    #[debug("{} keys", holders.len())]
    holders: HashMap<KeyDigest, KeyHolder>,
    /// Number of accounts, those without keys included.
    accounts: usize,
}

impl KeyIndex {
    /// Returns the index of the accounts. If two accounts hold the same key, the later one keeps it;
    /// `ConfigSnapshot::check` rejects such a configuration.
    pub fn new<'a>(accounts: impl IntoIterator<Item = &'a AccountSpec>) -> Self {
        let mut index = Self::default();
        for account in accounts {
            index.insert(account);
        }
        index
    }

    fn insert(&mut self, account: &AccountSpec) {
        let account = Arc::new(account.clone());
        self.accounts += 1;
        for (position, key) in account.keys.iter().enumerate() {
            let holder = KeyHolder {
                account: account.clone(),
                position,
            };
            self.holders
                .insert(digest_of(key.secret().as_bytes()), holder);
        }
    }

    /// Returns whether the configuration has client accounts, with or without keys.
    pub fn has_accounts(&self) -> bool {
        self.accounts > 0
    }

    /// Returns the account that holds the key; `sent` is its text as the caller sent it.
    pub fn find(&self, sent: &[u8]) -> Option<Arc<AccountSpec>> {
        let holder = self.holders.get(&digest_of(sent))?;
        let key = holder.account.keys.get(holder.position)?;
        let is_same = bool::from(key.secret().as_bytes().ct_eq(sent));
        is_same.then(|| holder.account.clone())
    }
}

fn digest_of(text: &[u8]) -> KeyDigest {
    Sha256::digest(text).into()
}
