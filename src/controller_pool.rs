//! Pool of a fixed number of workers that run the periodic steps of controllers.
//!
//! A step that panics or exceeds `STEP_TIMEOUT` is ended, and its job is scheduled again after its
//! period. Such a step occupies one worker for at most `STEP_TIMEOUT`; the other workers go on with the
//! other jobs.

use {
    futures::{FutureExt, StreamExt, future::BoxFuture},
    rand::Rng,
    std::{panic::AssertUnwindSafe, sync::Arc, time::Duration},
    tokio::{
        sync::{Mutex, mpsc},
        task::JoinSet,
        time::timeout,
    },
    tokio_util::{sync::CancellationToken, time::DelayQueue},
};

/// Time limit of one step; a store request has its own, shorter time limit.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Jitter of the time between two steps, as a fraction of the period in either direction.
const PERIOD_JITTER: f64 = 0.1;

/// Starts one step of a controller and returns its future.
pub type ControllerStep = Box<dyn FnMut() -> BoxFuture<'static, ()> + Send>;

/// Periodic work of one controller.
pub struct ControllerJob {
    /// Name of the controller in log lines.
    pub name: &'static str,
    /// Mean time between the end of a step and the start of the next.
    pub period: Duration,
    /// Starts one step.
    pub step: ControllerStep,
}

impl ControllerJob {
    /// Returns a job that runs `step` periodically.
    pub fn new<F, Fut>(name: &'static str, period: Duration, mut step: F) -> Self
    where
        F: FnMut() -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        Self {
            name,
            period,
            step: Box::new(move || step().boxed()),
        }
    }
}

/// Runs jobs on a pool of `workers` workers until cancelled; steps in progress finish before it returns.
///
/// The first step of each job starts after a random part of its period, so that nodes that were started
/// together do not run their steps at the same time.
pub async fn run_controllers(jobs: Vec<ControllerJob>, workers: usize, cancel: CancellationToken) {
    let (due_sender, due_receiver) = mpsc::channel(jobs.len().max(1));
    let (done_sender, mut done_receiver) = mpsc::channel(jobs.len().max(1));
    let mut pool = spawn_workers(workers, due_receiver, done_sender);
    let mut queue = DelayQueue::new();
    for job in jobs {
        let initial_delay = job.period.mul_f64(rand::rng().random_range(0.0..1.0));
        queue.insert(job, initial_delay);
    }
    loop {
        tokio::select! {
            () = cancel.cancelled() => break,
            Some(expired) = queue.next(), if !queue.is_empty() => {
                if due_sender.send(expired.into_inner()).await.is_err() {
                    break;
                }
            }
            Some(job) = done_receiver.recv() => {
                let delay = jittered_period(&job);
                queue.insert(job, delay);
            }
        }
    }
    drop(due_sender);
    while pool.join_next().await.is_some() {}
}

fn jittered_period(job: &ControllerJob) -> Duration {
    let factor = rand::rng().random_range(1.0 - PERIOD_JITTER..1.0 + PERIOD_JITTER);
    job.period.mul_f64(factor)
}

fn spawn_workers(
    count: usize,
    due: mpsc::Receiver<ControllerJob>,
    done: mpsc::Sender<ControllerJob>,
) -> JoinSet<()> {
    let due = Arc::new(Mutex::new(due));
    let mut pool = JoinSet::new();
    for _ in 0..count.max(1) {
        pool.spawn(run_worker(due.clone(), done.clone()));
    }
    pool
}

async fn run_worker(
    due: Arc<Mutex<mpsc::Receiver<ControllerJob>>>,
    done: mpsc::Sender<ControllerJob>,
) {
    loop {
        let next = due.lock().await.recv().await;
        let Some(mut job) = next else {
            return;
        };
        run_step(&mut job).await;
        if done.send(job).await.is_err() {
            return;
        }
    }
}

async fn run_step(job: &mut ControllerJob) {
    let step = AssertUnwindSafe((job.step)()).catch_unwind();
    match timeout(STEP_TIMEOUT, step).await {
        Ok(Ok(())) => {}
        Ok(Err(_)) => tracing::error!(
            controller = job.name,
            "controller step panicked; it runs again after its period"
        ),
        Err(_) => tracing::warn!(
            controller = job.name,
            limit_s = STEP_TIMEOUT.as_secs(),
            "controller step exceeded its time limit and was stopped; it runs again after its period"
        ),
    }
}
