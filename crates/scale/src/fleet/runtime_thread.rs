//! A thread with an async runtime of its own, whose processor time and timer delays are measured.

use crate::Error;
use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// Interval between two readings of the thread's processor time.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// A running thread; dropping the value ends the thread and all tasks on it.
#[derive(Debug)]
pub struct RuntimeThread {
    handle: Handle,
    cpu_us: Arc<AtomicU64>,
    max_delay_us: Arc<AtomicU64>,
    _shutdown: oneshot::Sender<()>,
}

impl RuntimeThread {
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
        let (shutdown, shutdown_requested) = oneshot::channel::<()>();
        let cpu_us = Arc::new(AtomicU64::new(0));
        let max_delay_us = Arc::new(AtomicU64::new(0));
        let (cpu_writer, delay_writer) = (cpu_us.clone(), max_delay_us.clone());
        let run = move || {
            runtime.block_on(async move {
                tokio::pin!(shutdown_requested);
                loop {
                    let started = Instant::now();
                    tokio::select! {
                        _ = &mut shutdown_requested => return,
                        () = tokio::time::sleep(READ_INTERVAL) => {}
                    }
                    let delay_us = started.elapsed().saturating_sub(READ_INTERVAL).as_micros();
                    delay_writer.fetch_max(
                        u64::try_from(delay_us).unwrap_or(u64::MAX),
                        Ordering::Relaxed,
                    );
                    let time = clock_gettime(ClockId::ThreadCPUTime);
                    let cpu_so_far_us = time
                        .tv_sec
                        .saturating_mul(1_000_000)
                        .saturating_add(time.tv_nsec / 1_000);
                    cpu_writer.store(cpu_so_far_us.unsigned_abs(), Ordering::Relaxed);
                }
            });
        };
        std::thread::Builder::new()
            .name(name.to_string())
            .spawn(run)
            .map_err(Error::io("a thread"))?;
        Ok(RuntimeThread {
            handle,
            cpu_us,
            max_delay_us,
            _shutdown: shutdown,
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
        reason = "some callers only reset the value"
    )]
    pub fn take_max_delay_s(&self) -> f64 {
        self.max_delay_us.swap(0, Ordering::Relaxed) as f64 / 1e6
    }

    /// Processor time so far, in seconds.
    #[must_use]
    pub fn cpu_s(&self) -> f64 {
        self.cpu_us.load(Ordering::Relaxed) as f64 / 1e6
    }
}
