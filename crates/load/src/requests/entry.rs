//! Starts and stops entry processes.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use attohttpc::ProxySettings;

use crate::loopback;

/// First port for entries, above the ports of the control group and its relays.
const FIRST_PORT: u16 = 7_400;
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The name, failure domain and listen addresses of an entry.
#[derive(Clone, Debug)]
pub struct EntryAddresses {
    /// Name in the roster.
    pub name: String,
    /// Failure domain in the roster.
    pub failure_domain: &'static str,
    /// Listener for other entries.
    pub inner: SocketAddr,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for workers and upstreams.
    pub workers: SocketAddr,
    operators: SocketAddr,
    admin: SocketAddr,
}

impl EntryAddresses {
    /// Allocates unused addresses for the entry `index`.
    pub fn allocate(index: usize) -> EntryAddresses {
        EntryAddresses {
            name: format!("entry{index}"),
            failure_domain: ["a", "b", "c"][index % 3],
            inner: allocate_address(),
            callers: allocate_address(),
            workers: allocate_address(),
            operators: allocate_address(),
            admin: allocate_address(),
        }
    }

    /// Returns the entry in the format of the `--roster` argument.
    pub fn roster_member(&self) -> String {
        format!("{}@{}={}", self.name, self.failure_domain, self.inner)
    }

    /// Returns whether the entry answers `/readyz` with success.
    pub fn is_ready(&self) -> bool {
        attohttpc::get(format!("http://{}/readyz", self.admin))
            .proxy_settings(ProxySettings::builder().build())
            .timeout(Duration::from_secs(1))
            .send()
            .is_ok_and(|response| response.is_success())
    }
}

/// Returns an address that no other process of this run has. Its port is below the ephemeral range,
/// so that it stays free until the entry binds it.
fn allocate_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    loopback::address(NEXT_PORT.fetch_add(1, Ordering::Relaxed))
}

/// Options common to all entry processes of an experiment.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Path of the entry program.
    pub program: PathBuf,
    /// Key file of the inner protocol and of the workers protocol.
    pub key_file: PathBuf,
    /// All entries, in the format of the `--roster` argument.
    pub roster: String,
    /// Inner addresses of the control processes, separated by commas; `None` runs the entries
    /// without control processes.
    pub control: Option<String>,
}

/// Returns the path of the entry program, which must be in the directory of this program.
pub fn program() -> anyhow::Result<PathBuf> {
    let this = std::env::current_exe()?;
    let program = this
        .parent()
        .unwrap_or(Path::new("."))
        .join("sapphirepost-entry");
    anyhow::ensure!(
        program.exists(),
        "no entry program next to this one; build it with `cargo build -p sapphirepost-entry`"
    );
    Ok(program)
}

/// A running entry process; it is killed when dropped.
#[derive(Debug)]
pub struct EntryProcess {
    child: Child,
}

impl EntryProcess {
    /// Starts an entry process; it may not be ready yet.
    pub fn start(
        addresses: &EntryAddresses,
        options: &EntryOptions,
    ) -> anyhow::Result<EntryProcess> {
        let key_file = options.key_file.to_string_lossy().into_owned();
        let control = options.control.iter();
        let child = Command::new(&options.program)
            .args(control.flat_map(|addresses| ["--control", addresses]))
            .args(["--entry", &addresses.name, "--roster", &options.roster])
            .args(["--callers-address", &addresses.callers.to_string()])
            .args(["--workers-address", &addresses.workers.to_string()])
            .args(["--operators-address", &addresses.operators.to_string()])
            .args(["--admin-address", &addresses.admin.to_string()])
            .args(["--inner-key-file", &key_file])
            .args(["--workers-key-file", &key_file])
            .args(["--log-level", "warn"])
            .stdin(Stdio::null())
            .spawn()
            .context("starting the entry program")?;
        Ok(EntryProcess { child })
    }

    /// Sends SIGTERM and waits until the process has exited.
    pub fn stop(mut self) -> anyhow::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status()?;
        let until = Instant::now() + EXIT_TIMEOUT;
        while self.child.try_wait()?.is_none() {
            anyhow::ensure!(Instant::now() < until, "the entry did not stop in time");
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until the entry is ready.
pub fn wait_ready(addresses: &EntryAddresses) -> anyhow::Result<()> {
    let until = Instant::now() + READY_TIMEOUT;
    while !addresses.is_ready() {
        anyhow::ensure!(Instant::now() < until, "{} is not ready", addresses.name);
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
