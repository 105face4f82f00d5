//! One entry process.

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

/// Above the ports of the control group and its relays.
const FIRST_PORT: u16 = 7_400;
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);

/// The addresses of an entry.
#[derive(Clone, Debug)]
pub struct EntryAddresses {
    /// Its name in the roster.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: &'static str,
    /// Inner listener.
    pub inner: SocketAddr,
    /// Caller listener.
    pub callers: SocketAddr,
    /// Workers listener.
    pub workers: SocketAddr,
    operators: SocketAddr,
    admin: SocketAddr,
}

impl EntryAddresses {
    /// New addresses for entry `index`.
    pub fn next(index: usize) -> EntryAddresses {
        EntryAddresses {
            name: format!("entry{index}"),
            failure_domain: ["a", "b", "c"][index % 3],
            inner: next_address(),
            callers: next_address(),
            workers: next_address(),
            operators: next_address(),
            admin: next_address(),
        }
    }

    /// The form in the roster.
    pub fn member(&self) -> String {
        format!("{}@{}={}", self.name, self.failure_domain, self.inner)
    }

    /// Whether the entry reports that it is ready.
    pub fn is_ready(&self) -> bool {
        attohttpc::get(format!("http://{}/readyz", self.admin))
            .proxy_settings(ProxySettings::builder().build())
            .timeout(Duration::from_secs(1))
            .send()
            .is_ok_and(|response| response.is_success())
    }
}

/// A free address; its port is none that the system gives out for outgoing connections, so that it
/// stays free until the entry binds it.
/// An address of this run that no other process of it has.
fn next_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    loopback::address(NEXT.fetch_add(1, Ordering::Relaxed))
}

/// What a process is started with.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// The program.
    pub program: PathBuf,
    /// The key file of the inner and the workers protocol.
    pub key_file: PathBuf,
    /// All entries.
    pub roster: String,
    /// Inner addresses of control processes, if there are any.
    pub control: Option<String>,
}

/// The entry program next to this one.
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
    /// Starts an entry.
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

    /// Asks the process to stop, and waits for its end.
    pub fn stop(mut self) -> anyhow::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status()?;
        let until = Instant::now() + EXIT_TIMEOUT;
        while self.child.try_wait()?.is_none() {
            anyhow::ensure!(Instant::now() < until, "the entry did not stop in time");
            thread::sleep(POLL);
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

/// Waits until an entry is ready.
pub fn wait_ready(addresses: &EntryAddresses) -> anyhow::Result<()> {
    let until = Instant::now() + READY_TIMEOUT;
    while !addresses.is_ready() {
        anyhow::ensure!(Instant::now() < until, "{} is not ready", addresses.name);
        thread::sleep(POLL);
    }
    Ok(())
}
