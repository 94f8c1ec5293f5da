//! The pool that runs the controllers' steps.

use {
    poplarwing::controller_pool::{ControllerJob, run_controllers},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::time::timeout,
    tokio_util::sync::CancellationToken,
};

/// Limit after which a test counts as hung.
const HUNG_AFTER: Duration = Duration::from_secs(30);

fn counting_job(counter: Arc<AtomicU32>, until: u32, cancel: CancellationToken) -> ControllerJob {
    ControllerJob::new("counting", Duration::from_millis(1), move || {
        let count = counter.fetch_add(1, Ordering::SeqCst) + 1;
        let cancel = cancel.clone();
        async move {
            if count >= until {
                cancel.cancel();
            }
        }
    })
}

fn panicking_job() -> ControllerJob {
    ControllerJob::new("panicking", Duration::from_millis(1), || async {
        panic!("step fails on purpose");
    })
}

fn stuck_job() -> ControllerJob {
    ControllerJob::new("stuck", Duration::from_millis(1), std::future::pending)
}

/// Guards against one controller's panic ending the work of the others.
#[tokio::test]
async fn panic_in_one_step_leaves_the_others_running() {
    let cancel = CancellationToken::new();
    let counter = Arc::new(AtomicU32::new(0));
    let jobs = vec![
        panicking_job(),
        counting_job(counter.clone(), 50, cancel.clone()),
    ];

    let run = timeout(HUNG_AFTER, run_controllers(jobs, 1, cancel)).await;

    assert!(run.is_ok());
    assert!(counter.load(Ordering::SeqCst) >= 50);
}

/// Guards against a step that hangs, for example on a store, holding up the other controllers.
#[tokio::test(start_paused = true)]
async fn stuck_step_holds_up_only_itself() {
    let cancel = CancellationToken::new();
    let counter = Arc::new(AtomicU32::new(0));
    let jobs = vec![
        stuck_job(),
        counting_job(counter.clone(), 50, cancel.clone()),
    ];

    let run = timeout(HUNG_AFTER * 10, run_controllers(jobs, 2, cancel)).await;

    assert!(run.is_ok());
    assert!(counter.load(Ordering::SeqCst) >= 50);
}
