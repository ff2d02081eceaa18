use super::*;
use tokio::task::LocalSet;
use tokio::time::advance;

#[tokio::test(start_paused = true)]
async fn drain_closes_idle_connections_and_resume_reopens_the_gate() {
    LocalSet::new()
        .run_until(async {
            let gate = Rc::new(DrainGate::new());
            tokio::task::spawn_local(gate.clone().run());
            let closing = gate.closing_idle();
            assert!(gate.is_ready() && gate.accepts_messages() && !gate.closes_connections());
            assert!(gate.drain());
            advance(DRAIN_IDLE_CLOSE_DELAY / 2).await;
            // a second drain command must not restart the time limits
            assert!(gate.drain());
            assert!(
                !gate.is_ready()
                    && gate.closes_connections()
                    && gate.accepts_messages()
                    && !*closing.borrow()
            );
            tokio::time::sleep(DRAIN_IDLE_CLOSE_DELAY / 2 + Duration::from_millis(1)).await;
            assert!(*closing.borrow());
            tokio::time::sleep(DRAIN_ACCEPT_PERIOD - DRAIN_IDLE_CLOSE_DELAY).await;
            assert!(!gate.accepts_messages());
            assert!(gate.resume());
            tokio::time::sleep(Duration::from_millis(1)).await;
            assert!(gate.is_ready() && gate.accepts_messages() && !*closing.borrow());
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn shutdown_is_permanent() {
    LocalSet::new()
        .run_until(async {
            let gate = Rc::new(DrainGate::new());
            tokio::task::spawn_local(gate.clone().run());
            assert!(gate.drain());
            gate.begin_shutdown();
            assert!(!gate.resume() && !gate.drain() && !gate.is_ready());
            tokio::time::sleep(SHUTDOWN_IDLE_CLOSE_DELAY + Duration::from_millis(1)).await;
            assert!(*gate.closing_idle().borrow() && gate.accepts_messages());
        })
        .await;
}
