//! An asynchronous runtime that runs tasks in the order in which they became ready.
//!
//! The server handles each call as a task of its own. A runtime with worker threads runs the task
//! that became ready last before earlier ones, so calls that arrive together overtake each other.

use std::io;
use std::thread;

use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// A runtime with one thread, which ends when this is dropped.
#[derive(Debug)]
pub struct OrderedRuntime {
    handle: Handle,
    /// Dropped to stop the thread.
    _stop: oneshot::Sender<()>,
}

impl OrderedRuntime {
    /// Starts the thread, which is called `name`; Linux keeps 15 bytes of it.
    pub fn start(name: &str) -> io::Result<OrderedRuntime> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        let run = move || {
            // Ends with an error, since the sender is dropped and never used.
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        };
        thread::Builder::new().name(name.to_owned()).spawn(run)?;
        Ok(OrderedRuntime {
            handle,
            _stop: stop,
        })
    }

    /// The handle by which tasks are started.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}
