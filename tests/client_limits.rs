//! Order in which connections of clients are closed, and the table that charges them.

use {
    poplarwing::{
        client_limits::{
            CONNECTION_BYTES, ClientLimits, ConnectionBounds, ConnectionEnd, ConnectionPhase,
            ConnectionView, MIN_STALL, REQUEST_BYTES, ShedReason, first_to_shed, overdue,
            slowest_request,
        },
        config::IntakeLimits,
        mesh::client_connections::{ClientConnection, ClientConnections},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::{Duration, Instant},
};

/// Steps of the property test for each seed.
const STEPS: usize = 2000;

/// Returns a connection that began its phase, and made its last progress, this many milliseconds before `now`.
fn view(
    id: u64,
    phase: ConnectionPhase,
    (begun_ms, progressed_ms): (u64, u64),
    now: Instant,
) -> ConnectionView {
    ConnectionView {
        id,
        phase,
        begun: now - Duration::from_millis(begun_ms),
        progressed: now - Duration::from_millis(progressed_ms),
        received: 100_000,
    }
}

/// Returns a time from which earlier ones can be computed, also on a machine that has just started.
fn some_time() -> Instant {
    Instant::now() + Duration::from_secs(3600)
}

fn table(connections: usize, buffer_bytes: usize) -> ClientConnections {
    ClientConnections::new(ClientLimits {
        connections,
        buffer_bytes,
    })
}

async fn is_shed(connection: &ClientConnection) -> bool {
    let shed = tokio::time::timeout(Duration::ZERO, connection.shed()).await;
    shed.is_ok()
}

/// Guards against a full process that cuts requests while it has idle connections.
#[test]
fn the_longest_idle_connection_is_closed_first() {
    let now = some_time();
    let views = [
        view(1, ConnectionPhase::Body, (9000, 9000), now),
        view(2, ConnectionPhase::Idle, (20, 20), now),
        view(3, ConnectionPhase::Idle, (500, 500), now),
        view(4, ConnectionPhase::Running, (9000, 9000), now),
    ];

    assert_eq!(first_to_shed(views.into_iter(), now), Some(3));
}

/// Guards against an order by age, in which a long upload goes before one that has stopped.
#[test]
fn the_slowest_request_is_closed_next() {
    let now = some_time();
    let views = [
        view(1, ConnectionPhase::Body, (9000, 300), now),
        view(2, ConnectionPhase::Body, (2000, 1900), now),
        view(3, ConnectionPhase::Head, (1000, 1000), now),
        view(4, ConnectionPhase::Answering, (800, 700), now),
        view(5, ConnectionPhase::Running, (9000, 9000), now),
    ];

    assert_eq!(first_to_shed(views.into_iter(), now), Some(2));
}

/// Guards against requests that are cut while they arrive or run.
#[test]
fn requests_that_progress_or_run_are_never_closed() {
    let now = some_time();
    let fresh = MIN_STALL.as_millis() as u64 - 1;
    let views = [
        view(1, ConnectionPhase::Head, (fresh, fresh), now),
        view(2, ConnectionPhase::Body, (9000, fresh), now),
        view(3, ConnectionPhase::Answering, (9000, fresh), now),
        view(4, ConnectionPhase::Running, (9000, 9000), now),
    ];

    assert_eq!(first_to_shed(views.into_iter(), now), None);
}

/// Guards against answers that are cut for others: their requests have run, and the node itself may be slow to send.
#[test]
fn answers_that_are_not_taken_are_never_closed_for_others() {
    let now = some_time();
    let views = [view(1, ConnectionPhase::Answering, (9000, 9000), now)];

    assert_eq!(first_to_shed(views.into_iter(), now), None);
    assert_eq!(slowest_request(views.into_iter(), now, 32_768), None);
}

/// Guards against finished answers that keep their connections as if they were being sent: the server does not always
/// ask for the next request after it.
#[test]
fn a_connection_is_idle_after_its_answer_although_the_server_asks_for_no_request() {
    let now = some_time();
    let views = [
        view(1, ConnectionPhase::Answering, (9000, 9000), now),
        view(2, ConnectionPhase::Idle, (500, 500), now),
        view(3, ConnectionPhase::Answered, (900, 900), now),
    ];
    let bounds = ConnectionBounds {
        idle_time: Duration::from_millis(800),
        ..ConnectionBounds::default()
    };

    assert_eq!(first_to_shed(views.into_iter(), now), Some(3));
    assert_eq!(overdue(&views[2], now, &bounds), Some(ShedReason::Idle));
}

/// Guards against the closing of short requests for the memory of a body, which they do not hold.
#[test]
fn only_requests_that_hold_bytes_are_closed_for_a_body() {
    let now = some_time();
    let mut short = view(1, ConnectionPhase::Body, (5000, 5000), now);
    short.received = 400;
    let long = view(2, ConnectionPhase::Body, (900, 900), now);

    assert_eq!(
        slowest_request([short, long].into_iter(), now, 32_768),
        Some(2)
    );
    assert_eq!(slowest_request([short].into_iter(), now, 32_768), None);
}

/// Guards against clients within the limits of the configuration that are cut, and against others that are not.
#[test]
fn times_of_the_configuration_hold_for_heads_and_idle_connections() {
    let now = some_time();
    let bounds =
        ConnectionBounds::configured(16_384, Duration::from_secs(3), Duration::from_secs(15));
    let overdue_after = |phase, ms| overdue(&view(1, phase, (ms, ms), now), now, &bounds);

    assert!(bounds.head_bytes > 16_384);
    assert_eq!(overdue_after(ConnectionPhase::Head, 4000), None);
    assert_eq!(
        overdue_after(ConnectionPhase::Head, 6000),
        Some(ShedReason::SlowHead)
    );
    assert_eq!(overdue_after(ConnectionPhase::Idle, 14_900), None);
    assert_eq!(
        overdue_after(ConnectionPhase::Idle, 15_000),
        Some(ShedReason::Idle)
    );
    assert_eq!(
        overdue_after(ConnectionPhase::Answering, 15_000),
        Some(ShedReason::SlowAnswer)
    );
    assert_eq!(overdue_after(ConnectionPhase::Body, 60_000), None);
    assert_eq!(overdue_after(ConnectionPhase::Running, 60_000), None);
}

/// Guards against clients that take the descriptors or the memory of the smallest machines.
#[test]
fn the_limits_follow_from_the_process() {
    let small = ClientLimits::of_process(160 << 20, 4100);
    let large = ClientLimits::of_process(512 << 20, 4100);

    assert_eq!(small.connections, 640);
    assert_eq!(small.buffer_bytes, 40 << 20);
    assert_eq!(large.connections, 1950);
}

/// Guards against a new connection that is refused while an idle one could be closed for it.
#[tokio::test]
async fn a_new_connection_takes_the_place_of_an_idle_one() {
    let clients = table(16, 1 << 30);
    let open: Vec<_> = (0..16).map(|_| clients.open().expect("room")).collect();

    let newest = clients.open();

    assert!(newest.is_some());
    assert!(is_shed(&open[0]).await);
    assert!(!is_shed(&open[1]).await);
}

/// Guards against connections that are closed while their requests run, and whose answers are lost.
#[tokio::test]
async fn a_connection_whose_request_runs_is_not_closed() {
    let clients = table(1, 1 << 30);
    let connection = clients.open().expect("room");
    connection.receive(b"GET / HTTP/1.1\r\n\r\n");
    connection.begin_body();
    assert!(connection.begin_run());

    let next = clients.open();

    assert!(next.is_none());
    assert!(!is_shed(&connection).await);
}

/// Returns a connection whose request runs.
fn open_running(clients: &ClientConnections) -> ClientConnection {
    let connection = clients.open().expect("room");
    connection.receive(b"GET / HTTP/1.1\r\n\r\n");
    connection.begin_body();
    assert!(connection.begin_run());
    connection
}

/// Returns a connection on which an answer is being sent, and whose client has taken a part of it.
fn open_answering(clients: &ClientConnections) -> ClientConnection {
    let connection = open_running(clients);
    connection.begin_answer();
    connection.record_write(Some(1000));
    connection.record_write(None);
    // The HTTP server asks for the next request while it sends, and not once more when it has sent everything.
    connection.await_request();
    connection
}

/// Guards against a connection that never becomes idle again after its client was slow to take an answer.
#[tokio::test]
async fn a_connection_is_idle_once_the_socket_has_taken_a_whole_answer() {
    let clients = table(8, 1 << 30);
    let connection = open_answering(&clients);
    let _running: Vec<_> = (1..8).map(|_| open_running(&clients)).collect();
    connection.record_write(Some(1000));
    connection.record_flush();

    let next = clients.open();

    assert!(next.is_some());
    assert!(is_shed(&connection).await);
}

/// Guards against a client that never takes its answer and keeps its connection for good.
#[tokio::test]
async fn an_answer_that_is_not_taken_is_closed_after_its_time_only() {
    let clients = table(1, 1 << 30);
    let connection = open_answering(&clients);
    let time = ConnectionBounds::default().idle_time;

    clients.close_overdue(Instant::now() + time / 2);

    assert!(!is_shed(&connection).await);
    clients.close_overdue(Instant::now() + time);
    assert!(is_shed(&connection).await);
    assert_eq!(clients.take_sheds().get(&ShedReason::SlowAnswer), Some(&1));
}

/// Guards against a request that runs although its connection is being closed, so that its answer would be lost.
#[tokio::test]
async fn a_request_does_not_run_once_its_connection_is_being_closed() {
    let clients = table(4, 1 << 30);
    clients.set_intake(Some(&IntakeLimits {
        header_bytes: 16_384,
        body_bytes: 100_000,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::from_secs(15),
    }));
    let connection = clients.open().expect("room");
    connection.receive(b"GET / HTTP/1.1\r\n");
    clients.close_overdue(Instant::now());
    connection.begin_body();

    assert!(!connection.begin_run());
    assert_eq!(clients.take_sheds().get(&ShedReason::SlowHead), Some(&1));
    assert_eq!(clients.charged_bytes(), 0);
}

/// Guards against empty lines that keep an idle connection open, or make it look like a request.
#[tokio::test]
async fn empty_lines_do_not_begin_a_request() {
    let clients = table(4, 1 << 30);
    let connection = clients.open().expect("room");

    connection.receive(b"\r\n\r\n");

    assert_eq!(clients.charged_bytes(), CONNECTION_BYTES);
    connection.receive(b"\r\nGET");
    assert_eq!(clients.charged_bytes(), CONNECTION_BYTES + REQUEST_BYTES);
}

/// Guards against ends of connections that do not tell whether an answer was owed.
#[tokio::test]
async fn ends_tell_whether_the_answer_was_sent() {
    let clients = table(4, 1 << 30);
    let answer = |connection: &ClientConnection| {
        connection.receive(b"GET / HTTP/1.1\r\n\r\n");
        connection.begin_body();
        assert!(connection.begin_run());
        connection.begin_answer();
    };
    let partly = clients.open().expect("room");
    answer(&partly);
    partly.record_write(Some(100));
    let whole = clients.open().expect("room");
    answer(&whole);
    whole.record_flush();
    let running = clients.open().expect("room");
    running.receive(b"GET / HTTP/1.1\r\n\r\n");
    running.begin_body();

    partly.end(ConnectionEnd::Shed);
    whole.end(ConnectionEnd::Shed);
    drop([partly, whole, running]);

    let ends = clients.take_ends();
    let count = |end, phase| ends.get(&(end, phase)).copied();
    assert_eq!(
        count(ConnectionEnd::Shed, ConnectionPhase::Answering),
        Some(1)
    );
    assert_eq!(
        count(ConnectionEnd::Shed, ConnectionPhase::Answered),
        Some(1)
    );
    assert_eq!(
        count(ConnectionEnd::Dropped, ConnectionPhase::Body),
        Some(1)
    );
}

fn random_step(clients: &ClientConnections, open: &mut Vec<ClientConnection>, rng: &mut StdRng) {
    if open.is_empty() || rng.random_ratio(1, 5) {
        open.extend(clients.open());
        return;
    }
    let index = rng.random_range(0..open.len());
    let connection = &open[index];
    match rng.random_range(0..11) {
        0 | 1 => connection.receive(&vec![b'x'; rng.random_range(1..40_000)]),
        2 => connection.begin_body(),
        3 => {
            connection.begin_run();
        }
        4 => connection.begin_answer(),
        5 => connection.await_request(),
        6 => {
            connection.charge_pipeline();
        }
        7 => connection.release_pipeline(),
        8 => connection.record_write(None),
        9 => connection.record_flush(),
        _ => drop(open.swap_remove(index)),
    }
}

/// Guards against charges that are never returned, or returned twice, in any order of events.
#[test]
fn charges_stay_below_the_limit_and_all_return() {
    let limit = 12 * (CONNECTION_BYTES + REQUEST_BYTES);
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let clients = table(24, limit);
        let mut open = Vec::new();
        for _ in 0..STEPS {
            random_step(&clients, &mut open, &mut rng);
            assert!(clients.charged_bytes() <= limit, "seed {seed}");
            // One in eight may be on the way out.
            assert!(clients.open_count() <= 27, "seed {seed}");
        }
        drop(open);
        assert_eq!(clients.charged_bytes(), 0, "seed {seed}");
        assert_eq!(clients.open_count(), 0, "seed {seed}");
    }
}
