//! Finds the tenant that holds the credential of a request.

use std::collections::BTreeMap;
use std::rc::Rc;

use displaydoc::Display;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher;
use thiserror::Error;

use crate::types::TenantName;

/// Largest credential that is looked up; a longer one is a mistake or an attack.
const CREDENTIAL_MAX_BYTES: usize = 256;

/// A customer of the operators whose callers share a cap.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Tenant {
    pub(crate) name: TenantName,
    /// Takes precedence over the priority of a route; 0 is the most urgent.
    pub(crate) priority: Option<u8>,
    /// Requests per second that the tenant may send to all hosts together; `None` without a cap.
    pub(crate) rate: Option<f64>,
    /// Requests beyond the rate that the tenant may send at once.
    pub(crate) burst: f64,
}

/// Why a request isn't accepted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error)]
pub(crate) enum AuthError {
    /// the request has no credential, or one that no tenant holds
    Unknown,
    /// the request has several credentials, or one that can't be valid
    Malformed,
}

/// Tenants by the keyed hashes of their credentials.
///
/// The hashes have a random key, so that callers can't guess which credentials collide, and credentials don't stay in
/// memory.
#[derive(Clone, Debug)]
pub(crate) struct TenantDirectory {
    hash_key: [u8; 16],
    by_credential: BTreeMap<u128, Rc<Tenant>>,
    by_name: BTreeMap<TenantName, Rc<Tenant>>,
    /// Some tenants are missing, because their entries can't be used.
    is_partial: bool,
}

impl TenantDirectory {
    pub(crate) fn new(hash_key: [u8; 16]) -> Self {
        Self {
            hash_key,
            by_credential: BTreeMap::new(),
            by_name: BTreeMap::new(),
            is_partial: false,
        }
    }

    fn hash(&self, credential: &[u8]) -> u128 {
        let mut hasher = SipHasher13::new_with_key(&self.hash_key);
        hasher.write(credential);
        hasher.finish128().as_u128()
    }

    /// Adds a tenant.
    pub(crate) fn add_tenant(&mut self, tenant: &Rc<Tenant>) {
        self.by_name.insert(tenant.name.clone(), Rc::clone(tenant));
    }

    /// Records that a tenant is missing, because its entry can't be used.
    pub(crate) fn record_omission(&mut self) {
        self.is_partial = true;
    }

    /// Reports whether a credential that isn't found may be one of a missing tenant.
    pub(crate) fn is_partial(&self) -> bool {
        self.is_partial
    }

    /// Adds a credential of a tenant. If another tenant holds it, it stays there, and that tenant's name is returned.
    pub(crate) fn add(&mut self, credential: &str, tenant: &Rc<Tenant>) -> Option<TenantName> {
        let hash = self.hash(credential.as_bytes());
        let holder = self.by_credential.entry(hash).or_insert_with(|| Rc::clone(tenant));
        (holder.name != tenant.name).then(|| holder.name.clone())
    }

    /// Returns all tenants.
    pub(crate) fn tenants(&self) -> impl Iterator<Item = &Rc<Tenant>> {
        self.by_name.values()
    }

    /// Returns the hash of each credential with its tenant.
    pub(crate) fn credentials(&self) -> impl Iterator<Item = (u128, &Rc<Tenant>)> {
        self.by_credential.iter().map(|(hash, tenant)| (*hash, tenant))
    }

    /// Returns a tenant by its name.
    pub(crate) fn find(&self, name: &TenantName) -> Option<&Rc<Tenant>> {
        self.by_name.get(name)
    }

    /// Returns the tenant that holds the credential of a request.
    ///
    /// # Errors
    ///
    /// Fails if the request doesn't have exactly one credential, or no tenant holds it.
    pub(crate) fn authenticate<'a>(
        &self,
        mut credentials: impl Iterator<Item = &'a [u8]>,
    ) -> Result<Rc<Tenant>, AuthError> {
        let credential = credentials.next().ok_or(AuthError::Unknown)?;
        let is_valid = credential.len() <= CREDENTIAL_MAX_BYTES && credential.iter().all(u8::is_ascii_graphic);
        if credentials.next().is_some() || !is_valid {
            return Err(AuthError::Malformed);
        }
        let tenant = self.by_credential.get(&self.hash(credential));
        tenant
            .filter(|_| !credential.is_empty())
            .cloned()
            .ok_or(AuthError::Unknown)
    }
}
