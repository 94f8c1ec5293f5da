//! Runs the real operator program, and nodes that misbehave.

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

/// What a run of the program led to.
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
    /// Checks the exit code and returns the output.
    pub fn expect_code(self, code: i32) -> CliOutput {
        assert_eq!(self.code, code, "{self:?}");
        self
    }
}

/// Runs the program with these arguments and, unless it is empty, this token.
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

/// Writes a file for the program and returns its path; `name` is unique among all tests.
pub fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the folder of the tests is writable");
    path.to_str().expect("the path is text").to_owned()
}

/// Returns an address where nobody listens.
pub fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.local_addr().expect("the listener is bound")
}

/// How a faulty node treats a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeFault {
    /// Reads it and closes the connection.
    Close,
    /// Reads it and never answers.
    Hang,
}

/// A node that reads requests but answers none.
pub struct FaultyNode {
    /// Address of the node.
    pub address: SocketAddr,
    /// Connections accepted.
    pub connections: Arc<AtomicUsize>,
}

/// Starts a node that reads requests but answers none.
pub async fn start_faulty(fault: NodeFault) -> FaultyNode {
    let listener = net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = connections.clone();
    tokio::spawn(async move {
        let mut held = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::SeqCst);
            let mut buffer = [0; 1024];
            let _ = stream.read(&mut buffer).await;
            if fault == NodeFault::Hang {
                held.push(stream);
            }
        }
    });
    FaultyNode {
        address,
        connections,
    }
}
