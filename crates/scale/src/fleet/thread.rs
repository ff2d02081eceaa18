//! A thread with an async runtime of its own, whose processor time and timer delays are measured.

use crate::Error;
use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// Interval between two readings of the thread's processor time.
const READ: Duration = Duration::from_millis(20);

/// A running thread; dropping the value ends the thread and all tasks on it.
#[derive(Debug)]
pub struct Thread {
    handle: Handle,
    micros: Arc<AtomicU64>,
    late: Arc<AtomicU64>,
    _end: oneshot::Sender<()>,
}

impl Thread {
    /// Starts the thread.
    ///
    /// # Errors
    /// The system provides no thread or no runtime.
    pub fn start(name: &str) -> Result<Self, Error> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(Error::io("a runtime"))?;
        let handle = runtime.handle().clone();
        let (end, ended) = oneshot::channel::<()>();
        let micros = Arc::new(AtomicU64::new(0));
        let late = Arc::new(AtomicU64::new(0));
        let (told, latest) = (micros.clone(), late.clone());
        let run = move || {
            runtime.block_on(async move {
                tokio::pin!(ended);
                loop {
                    let begun = Instant::now();
                    tokio::select! {
                        _ = &mut ended => return,
                        () = tokio::time::sleep(READ) => {}
                    }
                    let micros = begun.elapsed().saturating_sub(READ).as_micros();
                    latest.fetch_max(u64::try_from(micros).unwrap_or(u64::MAX), Ordering::Relaxed);
                    let time = clock_gettime(ClockId::ThreadCPUTime);
                    let so_far = time
                        .tv_sec
                        .saturating_mul(1_000_000)
                        .saturating_add(time.tv_nsec / 1_000);
                    told.store(so_far.unsigned_abs(), Ordering::Relaxed);
                }
            });
        };
        std::thread::Builder::new()
            .name(name.to_string())
            .spawn(run)
            .map_err(Error::io("a thread"))?;
        Ok(Thread {
            handle,
            micros,
            late,
            _end: end,
        })
    }

    /// Handle of the thread's runtime.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Returns the largest timer delay of this thread in seconds since the last call, and resets it. Such a delay means
    /// that the machine or a task on the thread held up everything else on it.
    #[expect(
        clippy::must_use_candidate,
        reason = "some callers only ask so that the next interval begins"
    )]
    pub fn late_s(&self) -> f64 {
        self.late.swap(0, Ordering::Relaxed) as f64 / 1e6
    }

    /// Processor time so far, in seconds.
    #[must_use]
    pub fn cpu_s(&self) -> f64 {
        self.micros.load(Ordering::Relaxed) as f64 / 1e6
    }
}
