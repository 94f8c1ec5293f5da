//! Runs the `poplarwing` binary, and stub nodes that never respond.

use {
    std::{
        fs,
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::Command,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::{io::AsyncReadExt, net, task},
};

/// Result of a run of the program.
#[derive(Debug)]
pub struct CliOutput {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl CliOutput {
    /// Asserts the exit code and returns the output.
    pub fn expect_code(self, code: i32) -> CliOutput {
        assert_eq!(self.code, code, "{self:?}");
        self
    }
}

/// Runs the program with these arguments and with the access token in its environment, unless that is
/// empty.
pub async fn run_cli(token: &str, arguments: &[&str]) -> CliOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_poplarwing"));
    command.args(arguments).env_remove("POPLARWING_TOKEN");
    if !token.is_empty() {
        command.env("POPLARWING_TOKEN", token);
    }
    let output = task::spawn_blocking(move || command.output()).await;
    let output = output.expect("the run ends").expect("the program starts");
    CliOutput {
        code: output.status.code().expect("the program exits by itself"),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Writes a file for the program and returns its path; `name` must be unique among all tests.
pub fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the folder of the tests is writable");
    path.to_str().expect("the path is text").to_owned()
}

/// Returns a loopback address on which nothing listens.
pub fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.local_addr().expect("the listener is bound")
}

/// Reaction of a stub node to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StubReaction {
    /// Reads from the connection once, then closes it.
    Close,
    /// Reads from the connection once, then keeps it open without a response.
    Hang,
}

/// A stub node that accepts connections but never responds.
pub struct StubNode {
    /// Address of the node.
    pub address: SocketAddr,
    /// Number of connections accepted so far.
    pub connections: Arc<AtomicUsize>,
}

/// Starts a stub node that accepts connections but never responds.
pub async fn start_stub_node(reaction: StubReaction) -> StubNode {
    let listener = net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = connections.clone();
    tokio::spawn(async move {
        let mut open_streams = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::SeqCst);
            let mut buffer = [0; 1024];
            let _ = stream.read(&mut buffer).await;
            if reaction == StubReaction::Hang {
                open_streams.push(stream);
            }
        }
    });
    StubNode {
        address,
        connections,
    }
}
