//! Signals that stop the process or reload its settings.
//!
//! The first SIGTERM or SIGINT requests a graceful shutdown, each later one an immediate exit.
//! SIGHUP requests a reload.

use std::io;
use std::thread;

use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// The kind of shutdown that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shutdown {
    /// Finish what is in progress, then exit.
    Graceful,
    /// Exit at once, without finishing what is in progress.
    Immediate,
}

/// Installs handlers for SIGTERM and SIGINT and calls `on_signal` for each signal, on a separate
/// thread.
pub fn on_shutdown(on_signal: impl Fn(Shutdown) + Send + 'static) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            let mut next = Shutdown::Graceful;
            for _ in signals.forever() {
                on_signal(next);
                next = Shutdown::Immediate;
            }
        })?;
    Ok(())
}

/// Installs a handler for SIGHUP and calls `on_reload` for each signal, on a separate thread.
pub fn on_reload(on_reload: impl Fn() + Send + 'static) -> io::Result<()> {
    let mut signals = Signals::new([SIGHUP])?;
    thread::Builder::new()
        .name("reload".to_owned())
        .spawn(move || {
            for _ in signals.forever() {
                on_reload();
            }
        })?;
    Ok(())
}

/// Installs handlers for SIGTERM and SIGINT and returns a channel that receives a message for each
/// signal. A signal is dropped while two messages wait in the channel.
pub fn shutdown_channel() -> io::Result<flume::Receiver<Shutdown>> {
    let (sender, receiver) = flume::bounded(2);
    on_shutdown(move |shutdown| {
        let _ = sender.try_send(shutdown);
    })?;
    Ok(receiver)
}
