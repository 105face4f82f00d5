//! HTTP client for the workers listeners of the entries, which serve both workers and upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use attohttpc::ProxySettings;
use sapphirepost_process::SharedKey;
use serde::Serialize;
use serde::de::DeserializeOwned;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A client that sends its requests to one entry, and to the next one after each failure.
#[derive(Debug)]
pub struct Entries {
    addresses: Arc<[SocketAddr]>,
    key: SharedKey,
    next: AtomicUsize,
}

impl Clone for Entries {
    fn clone(&self) -> Entries {
        Entries {
            addresses: self.addresses.clone(),
            key: self.key.clone(),
            next: AtomicUsize::new(self.next.load(Ordering::Relaxed)),
        }
    }
}

impl Entries {
    /// Creates a client for the entries at these comma-separated `ip:port` addresses.
    ///
    /// Fails if an address cannot be parsed.
    pub fn new(addresses: &str, key: SharedKey) -> anyhow::Result<Entries> {
        let addresses = addresses
            .split(',')
            .map(|address| address.trim().parse().context(address.to_owned()))
            .collect::<anyhow::Result<Vec<SocketAddr>>>()
            .context("--entries")?;
        Ok(Entries {
            addresses: addresses.into(),
            key,
            next: AtomicUsize::new(0),
        })
    }

    /// Returns a client for the same entries that begins with the one at `start` modulo their number,
    /// so that many simulated processes spread over the entries.
    pub fn starting_at(&self, start: usize) -> Entries {
        let entries = self.clone();
        entries.next.store(start, Ordering::Relaxed);
        entries
    }

    /// Switches to the next entry for the following requests.
    pub fn advance(&self) {
        self.next.fetch_add(1, Ordering::Relaxed);
    }

    /// Posts `body` as JSON to the current entry and parses the JSON response. On failure, including
    /// an HTTP error status, the following request goes to the next entry.
    pub fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> anyhow::Result<R> {
        let result = self.post_once(path, body, timeout);
        if result.is_err() {
            self.advance();
        }
        result
    }

    fn post_once<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> anyhow::Result<R> {
        let next = self.next.load(Ordering::Relaxed);
        let address = self.addresses[next % self.addresses.len()];
        let response = attohttpc::post(format!("http://{address}{path}"))
            .header("authorization", self.key.authorization())
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(timeout)
            .json(body)?
            .send()?;
        let status = response.status();
        if !status.is_success() {
            anyhow::bail!("{address} answered {status}: {}", response.text()?);
        }
        Ok(response.json()?)
    }
}
