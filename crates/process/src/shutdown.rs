//! Signals that end the process.
//!
//! The first SIGTERM or SIGINT asks for a graceful shutdown, the second one for an immediate end.

use std::io;
use std::thread;

use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shutdown {
    /// Finish what is in progress, then exit.
    Graceful,
    /// Exit without finishing.
    Immediate,
}

/// Installs the handlers and calls `on_signal` on a thread of its own for each signal.
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

/// Installs a handler that calls `on_reload` on a thread of its own for each SIGHUP.
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

/// Installs the handlers and delivers each signal to a ring.
pub fn shutdown_channel() -> io::Result<flume::Receiver<Shutdown>> {
    let (sender, receiver) = flume::bounded(2);
    on_shutdown(move |shutdown| {
        let _ = sender.try_send(shutdown);
    })?;
    Ok(receiver)
}
