//! The worker pool that runs the periodic steps of controllers.

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

/// Time limit that only a pool that hangs exceeds.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

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

fn hanging_job() -> ControllerJob {
    ControllerJob::new("stuck", Duration::from_millis(1), std::future::pending)
}

/// Guards against a panic in a step of one controller stopping the other controllers.
#[tokio::test]
async fn panic_in_one_step_does_not_stop_other_controllers() {
    let cancel = CancellationToken::new();
    let counter = Arc::new(AtomicU32::new(0));
    let jobs = vec![
        panicking_job(),
        counting_job(counter.clone(), 50, cancel.clone()),
    ];

    let outcome = timeout(HANG_TIMEOUT, run_controllers(jobs, 1, cancel)).await;

    assert!(outcome.is_ok());
    assert!(counter.load(Ordering::SeqCst) >= 50);
}

/// Guards against a step that hangs, for example on a store request, blocking the other controllers.
#[tokio::test(start_paused = true)]
async fn hanging_step_does_not_block_other_controllers() {
    let cancel = CancellationToken::new();
    let counter = Arc::new(AtomicU32::new(0));
    let jobs = vec![
        hanging_job(),
        counting_job(counter.clone(), 50, cancel.clone()),
    ];

    let outcome = timeout(HANG_TIMEOUT * 10, run_controllers(jobs, 2, cancel)).await;

    assert!(outcome.is_ok());
    assert!(counter.load(Ordering::SeqCst) >= 50);
}
