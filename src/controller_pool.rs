//! Fixed workers that run the controllers' periodic steps.
//!
//! A step that fails or takes too long delays only itself: it occupies one worker for at most
//! `STEP_LIMIT`, and the job is due again after its period.

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

/// Longest time for one step; a store request has its own, shorter limit.
const STEP_LIMIT: Duration = Duration::from_secs(30);

/// Spread of the time between two steps, as a part of the period.
const PERIOD_SPREAD: f64 = 0.1;

/// One step of a controller.
pub type ControllerStep = Box<dyn FnMut() -> BoxFuture<'static, ()> + Send>;

/// Periodic work of one controller.
pub struct ControllerJob {
    /// Name for the log.
    pub name: &'static str,
    /// Time between the end of a step and the start of the next.
    pub period: Duration,
    /// Does one step.
    pub step: ControllerStep,
}

impl ControllerJob {
    /// Returns a job that runs `step` once in each period.
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

/// Runs jobs on `workers` workers until cancelled; steps in progress finish first.
///
/// The first step of each job starts at a random phase of its period, so that nodes started together
/// do not act together.
pub async fn run_controllers(jobs: Vec<ControllerJob>, workers: usize, cancel: CancellationToken) {
    let (due_sender, due_receiver) = mpsc::channel(jobs.len().max(1));
    let (done_sender, mut done_receiver) = mpsc::channel(jobs.len().max(1));
    let mut pool = spawn_workers(workers, due_receiver, done_sender);
    let mut queue = DelayQueue::new();
    for job in jobs {
        let phase = job.period.mul_f64(rand::rng().random_range(0.0..1.0));
        queue.insert(job, phase);
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
                let delay = spread_period(&job);
                queue.insert(job, delay);
            }
        }
    }
    drop(due_sender);
    while pool.join_next().await.is_some() {}
}

fn spread_period(job: &ControllerJob) -> Duration {
    let factor = rand::rng().random_range(1.0 - PERIOD_SPREAD..1.0 + PERIOD_SPREAD);
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
    match timeout(STEP_LIMIT, step).await {
        Ok(Ok(())) => {}
        Ok(Err(_)) => tracing::error!(controller = job.name, "controller step panicked"),
        Err(_) => tracing::warn!(
            controller = job.name,
            limit_s = STEP_LIMIT.as_secs(),
            "controller step exceeded its time limit"
        ),
    }
}
