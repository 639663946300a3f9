//! Tests of supervisors whose children exceed the restart limit.

use fulmarhead_runtime::{
    clock::SystemClock,
    supervisor::{RestartLimit, Supervisor, TaskError},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time for which a supervisor waits for a child that does not stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

fn supervisor() -> Supervisor {
    Supervisor::new("tree", SystemClock::shared())
        .restart_limit(RestartLimit { max_restarts: 0, window: Duration::from_secs(1) })
        .stop_timeout(STOP_TIMEOUT)
}

/// Guards against a wait for the child that has ended, during which the others go on.
#[tokio::test]
async fn ended_child_is_not_awaited() {
    let supervisor = supervisor()
        .permanent("sound", |stop| async move {
            stop.cancelled().await;
            Ok(())
        })
        .permanent("faulty", |_| async { Ok(()) });
    let begun = Instant::now();
    let result = supervisor.run(CancellationToken::new()).await;
    assert!(matches!(result, Err(TaskError::RestartLimit { .. })), "{result:?}");
    assert!(begun.elapsed() < STOP_TIMEOUT, "took {:?}", begun.elapsed());
}

/// Guards against requests that are cut without a response because nobody is told that the tree
/// fails.
#[tokio::test]
async fn failure_is_known_before_children_stop() {
    let was_known = Arc::new(AtomicBool::new(false));
    let supervisor = supervisor();
    let (failing, known) = (supervisor.failing(), Arc::clone(&was_known));
    let supervisor = supervisor
        .permanent("sound", move |stop| {
            let (failing, known) = (failing.clone(), Arc::clone(&known));
            async move {
                stop.cancelled().await;
                known.store(failing.is_cancelled(), Ordering::SeqCst);
                Ok(())
            }
        })
        .permanent("faulty", |_| async { Ok(()) });
    let result = supervisor.run(CancellationToken::new()).await;
    assert!(matches!(result, Err(TaskError::RestartLimit { .. })), "{result:?}");
    assert!(was_known.load(Ordering::SeqCst));
}
