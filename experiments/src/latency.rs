//! Latency and processor time that nodes add to a call.
//!
//! Each thread sends sequential calls over its own connections, alternately to the target directly and
//! through a node, so that both kinds of call see the same load of the machine.

use {
    crate::{
        node_group::{GroupError, NodeGroup, host_of, report, run_experiment},
        process_stat::processor_seconds,
    },
    hdrhistogram::Histogram,
    http_body_util::Full,
    hyper::{Response, body::Bytes, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        convert::Infallible,
        io::{self, Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, task::spawn_blocking, time::sleep},
};

/// Calls per second through the node in the paced runs; at the design size a node sees about 60.
const RATES: [f64; 4] = [60.0, 500.0, 1500.0, 3000.0];

/// Runs per rate and path; the lowest and highest result show the noise of the machine.
const REPEATS: u64 = 3;

/// Length of a run.
const RUN_TIME: Duration = Duration::from_millis(1500);

/// Caller threads of a paced run.
const THREADS: usize = 16;

/// Caller threads of a run without pauses between calls.
const SATURATING_THREADS: usize = 24;

/// Wait for the announcement of the target to reach both nodes.
const ANNOUNCEMENT_WAIT: Duration = Duration::from_secs(4);

/// Upper bound of the histograms, in microseconds; longer latencies are counted as this one.
const MAX_LATENCY_US: u64 = 10_000_000;

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Time between two announcements of the target; targets must be announced every 2 s.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(2);

/// Body of the target's answer.
const ANSWER: &[u8] = b"answer of the target";

/// Size of the buffer for an answer, in bytes.
const ANSWER_BYTES: usize = 4096;

/// Separator between the head and the body of an answer.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Addresses of the target and of the node that the calls of a run enter by.
#[derive(Clone, Debug)]
struct CallPath {
    name: &'static str,
    direct: SocketAddr,
    node: SocketAddr,
    /// Process ids of the nodes that a call passes.
    processes: Vec<u32>,
    /// Labels of `processes` in the printed figures.
    roles: &'static [&'static str],
}

/// Latencies of the direct calls and the calls through the node, in microseconds.
struct PathLatency {
    direct: Histogram<u64>,
    node: Histogram<u64>,
}

/// Measures all paths at all rates and prints the figures.
pub fn run() -> Result<(), GroupError> {
    run_experiment(async {
        let group = NodeGroup::start(2, 1).await?;
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = listener.local_addr()?;
        tokio::spawn(serve_target(listener));
        let announcing = async {
            loop {
                group.announce(0, 0, target).await;
                sleep(ANNOUNCE_PERIOD).await;
            }
        };
        let measuring = async {
            sleep(ANNOUNCEMENT_WAIT).await;
            for path in paths(&group, target) {
                measure_path(path).await?;
            }
            Ok(())
        };
        tokio::select! {
            result = measuring => result,
            () = announcing => Ok(()),
        }
    })
}

/// Serves a target that answers immediately.
///
/// The scripted target of the crate `poplarwing-standins` waits on timers of 1 ms even for a latency of 0,
/// which hides the latency that a node adds.
async fn serve_target(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let service = service_fn(|_| async {
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(ANSWER))))
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(served);
    }
}

fn paths(group: &NodeGroup, direct: SocketAddr) -> [CallPath; 2] {
    let process = |index| group.nodes.process_id(index).unwrap_or_default();
    [
        CallPath {
            name: "no hop",
            direct,
            node: group.nodes.addresses(0).call,
            processes: vec![process(0)],
            roles: &["entry and target's node"],
        },
        CallPath {
            name: "one hop",
            direct,
            node: group.nodes.addresses(1).call,
            processes: vec![process(1), process(0)],
            roles: &["entry node", "target's node"],
        },
    ]
}

async fn measure_path(path: CallPath) -> Result<(), GroupError> {
    for rate in RATES {
        let mut added = Vec::new();
        for repeat in 0..REPEATS {
            let run_path = path.clone();
            let latency =
                spawn_blocking(move || run_calls(&run_path, Some(rate), repeat)).await??;
            added.push(latency.added_ms(0.99));
            report_run(&path, &latency, rate);
        }
        added.sort_by(f64::total_cmp);
        show(
            &path,
            "added at p99, lowest of 3 runs",
            added[0],
            "ms",
            rate,
        );
        let highest = added[added.len() - 1];
        show(
            &path,
            "added at p99, highest of 3 runs",
            highest,
            "ms",
            rate,
        );
    }
    saturate(path).await
}

/// Measures calls without pauses. All of them go through the node, so that its processor time during the
/// run can be attributed to them.
async fn saturate(path: CallPath) -> Result<(), GroupError> {
    let run_path = path.clone();
    let before = processor_times(&path);
    let started = Instant::now();
    let latency = spawn_blocking(move || run_calls(&run_path, None, 0)).await??;
    let elapsed = started.elapsed().as_secs_f64();
    let calls = latency.node.len() as f64;
    show(&path, "calls a second", calls / elapsed, "1/s", 0.0);
    let p99 = latency.node.value_at_quantile(0.99) as f64 / 1000.0;
    show(&path, "latency at p99, saturated", p99, "ms", 0.0);
    let after = processor_times(&path);
    for (index, role) in path.roles.iter().enumerate() {
        let used = (after[index] - before[index]) * 1e6 / calls;
        let label = format!("processor time per call, {role}");
        show(&path, &label, used, "us", 0.0);
    }
    Ok(())
}

fn processor_times(path: &CallPath) -> Vec<f64> {
    let times = path.processes.iter();
    times
        .map(|process| processor_seconds(*process).unwrap_or_default())
        .collect()
}

fn report_run(path: &CallPath, latency: &PathLatency, rate: f64) {
    show(path, "added at p50", latency.added_ms(0.5), "ms", rate);
    show(path, "added at p99", latency.added_ms(0.99), "ms", rate);
    let quantile = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1000.0;
    show(
        path,
        "direct at p50",
        quantile(&latency.direct, 0.5),
        "ms",
        rate,
    );
    show(
        path,
        "direct at p99",
        quantile(&latency.direct, 0.99),
        "ms",
        rate,
    );
    show(
        path,
        "through the node at p99",
        quantile(&latency.node, 0.99),
        "ms",
        rate,
    );
}

fn show(path: &CallPath, figure: &str, value: f64, unit: &str, rate: f64) {
    let label = format!("{figure}, {}", path.name);
    report("latency", &label, value, unit, "direct call", rate as usize);
}

impl PathLatency {
    fn new() -> Self {
        let empty = || {
            Histogram::new_with_max(MAX_LATENCY_US, HISTOGRAM_DIGITS)
                .expect("the bounds of the histogram are valid")
        };
        Self {
            direct: empty(),
            node: empty(),
        }
    }

    /// Returns the difference between the quantiles of calls through the node and direct calls, in
    /// milliseconds.
    fn added_ms(&self, quantile: f64) -> f64 {
        let node = self.node.value_at_quantile(quantile) as f64;
        (node - self.direct.value_at_quantile(quantile) as f64) / 1000.0
    }
}

/// Makes the calls of one run on new threads. `rate` is the calls per second through the node, and as many
/// direct ones; without a rate there are no pauses and no direct calls.
fn run_calls(path: &CallPath, rate: Option<f64>, seed: u64) -> io::Result<PathLatency> {
    let threads = match rate {
        Some(_) => THREADS,
        None => SATURATING_THREADS,
    };
    let mut total = PathLatency::new();
    let callers: Vec<_> = (0..threads as u64)
        .map(|thread| {
            let path = path.clone();
            let gap = rate.map(|rate| threads as f64 / rate);
            thread::spawn(move || call_alternately(&path, gap, seed * 1000 + thread))
        })
        .collect();
    for caller in callers {
        let latency = caller
            .join()
            .map_err(|_| io::Error::other("a caller thread of the latency run panicked"))??;
        total.direct += latency.direct;
        total.node += latency.node;
    }
    Ok(total)
}

/// Calls the target and the node alternately. Between two calls through the node lie random pauses of `gap`
/// seconds on average; without a gap only the node is called.
fn call_alternately(path: &CallPath, gap: Option<f64>, seed: u64) -> io::Result<PathLatency> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut direct = CallConnection::open(path.direct)?;
    let mut node = CallConnection::open(path.node)?;
    let mut latency = PathLatency::new();
    // Not recorded: the first call on a connection includes its set-up.
    direct.call()?;
    node.call()?;
    let deadline = Instant::now() + RUN_TIME;
    while Instant::now() < deadline {
        if let Some(gap) = gap {
            sleep_exponential(&mut rng, gap / 2.0);
            latency.direct.saturating_record(direct.call()?);
            sleep_exponential(&mut rng, gap / 2.0);
        }
        latency.node.saturating_record(node.call()?);
    }
    Ok(latency)
}

fn sleep_exponential(rng: &mut ChaCha8Rng, mean: f64) {
    let draw: f64 = rng.random_range(f64::EPSILON..1.0);
    thread::sleep(Duration::from_secs_f64(-mean * draw.ln()));
}

/// A keep-alive connection that carries one call at a time.
struct CallConnection {
    stream: TcpStream,
    request: Vec<u8>,
    answer: Vec<u8>,
}

impl CallConnection {
    fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let request = format!("GET /read HTTP/1.1\r\nhost: {}\r\n\r\n", host_of(0));
        Ok(Self {
            stream,
            request: request.into_bytes(),
            answer: vec![0; ANSWER_BYTES],
        })
    }

    /// Sends a call; returns the microseconds until the end of the answer.
    fn call(&mut self) -> io::Result<u64> {
        let started = Instant::now();
        self.stream.write_all(&self.request)?;
        let mut filled = 0;
        loop {
            let read = self.stream.read(&mut self.answer[filled..])?;
            if read == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
            }
            filled += read;
            if is_complete_answer(&self.answer[..filled])? {
                return Ok(started.elapsed().as_micros() as u64);
            }
        }
    }
}

/// Returns whether an answer is complete. A status other than 200 or a missing length is an error.
fn is_complete_answer(answer: &[u8]) -> io::Result<bool> {
    let mut windows = answer.windows(HEAD_END.len());
    let Some(end) = windows.position(|window| window == HEAD_END) else {
        return Ok(false);
    };
    let head = String::from_utf8_lossy(&answer[..end]).to_ascii_lowercase();
    if !head.starts_with("http/1.1 200") {
        return Err(io::Error::other(format!(
            "call not answered with status 200: {head}"
        )));
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .and_then(|length| length.parse::<usize>().ok())
        .ok_or_else(|| io::Error::other("answer without the header content-length"))?;
    Ok(answer.len() >= end + HEAD_END.len() + length)
}
