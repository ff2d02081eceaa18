//! A thread with a runtime of its own, and what it has cost.

use crate::Error;
use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// How often the thread's processor time is read.
const READ: Duration = Duration::from_millis(20);

/// The thread; ends with this value, with all that runs on it.
#[derive(Debug)]
pub struct Thread {
    handle: Handle,
    micros: Arc<AtomicU64>,
    _end: oneshot::Sender<()>,
}

impl Thread {
    /// Starts it.
    ///
    /// # Errors
    /// The system gives no thread or no runtime.
    pub fn start(name: &str) -> Result<Self, Error> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(Error::io("a runtime"))?;
        let handle = runtime.handle().clone();
        let (end, ended) = oneshot::channel::<()>();
        let micros = Arc::new(AtomicU64::new(0));
        let told = micros.clone();
        let run = move || {
            runtime.block_on(async move {
                tokio::pin!(ended);
                loop {
                    tokio::select! {
                        _ = &mut ended => return,
                        () = tokio::time::sleep(READ) => {}
                    }
                    let time = clock_gettime(ClockId::ThreadCPUTime);
                    let so_far = time.tv_sec.saturating_mul(1_000_000).saturating_add(time.tv_nsec / 1_000);
                    told.store(so_far.unsigned_abs(), Ordering::Relaxed);
                }
            });
        };
        std::thread::Builder::new().name(name.to_string()).spawn(run).map_err(Error::io("a thread"))?;
        Ok(Thread { handle, micros, _end: end })
    }

    /// Its runtime.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Seconds of processor time so far.
    pub fn cpu_s(&self) -> f64 {
        self.micros.load(Ordering::Relaxed) as f64 / 1e6
    }
}
