//! Starts, freezes and stops real node processes on loopback addresses.

use {
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    thiserror::Error,
};

/// Port that is bound to reserve a block of loopback addresses; see [`reserve_block`].
const LOCK_PORT: u16 = 6999;

/// Port that accepts calls from callers.
const CALL_PORT: u16 = 7000;

/// Port that accepts calls that other nodes forward.
const FORWARD_PORT: u16 = 7001;

/// Port for gossip (UDP) and configuration synchronisation (TCP).
const PEER_PORT: u16 = 7002;

/// Port of the admin API for operators and targets.
const ADMIN_PORT: u16 = 7003;

/// Range of the second octet of loopback addresses; each value is one block, 127.N.0.0/16.
const FIRST_BLOCK: u8 = 10;
const LAST_BLOCK: u8 = 250;

/// Number of nodes that share the third octet of their address.
const NODES_PER_OCTET: usize = 200;

/// Maximum number of gossip seeds in the settings of each node.
const SEEDS_PER_NODE: usize = 5;

/// Interval between checks whether a process has exited.
const EXIT_POLL: Duration = Duration::from_millis(20);

/// Name of the only operator in the settings of the nodes.
pub const OPERATOR_NAME: &str = "tester";

/// Bearer token of [`OPERATOR_NAME`] for the admin API.
pub const OPERATOR_TOKEN: &str = "token-of-the-tester-0001";

/// A fleet that could not be set up or controlled.
#[derive(Debug, Error)]
pub enum FleetError {
    /// An operation on a file or a process failed.
    #[error("{step}: {cause}")]
    System {
        /// The operation that failed.
        step: String,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// Other fleets have reserved all blocks of loopback addresses.
    #[error("reserve loopback addresses: all blocks 127.10.0.0/16 to 127.250.0.0/16 are in use")]
    NoAddresses,
    /// A process did not exit within the time limit, or was not started.
    #[error("wait for node {0} to exit: still running at the time limit, or not started")]
    StillRunning(String),
}

fn system_error(step: impl Into<String>) -> impl FnOnce(io::Error) -> FleetError {
    let step = step.into();
    move |cause| FleetError::System { step, cause }
}

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Executable of the node (`poplarwingd`).
    pub binary: PathBuf,
    /// Failure domains, assigned to nodes round-robin.
    pub domains: Vec<String>,
    /// Number of nodes.
    pub nodes: usize,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    /// Log level in the settings of the nodes.
    pub log_level: String,
    /// Maximum random delay at startup before a node reads the store's head (newest configuration version).
    pub join_spread: Duration,
}

/// Addresses of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Accepts calls from callers.
    pub call: SocketAddr,
    /// Accepts calls that other nodes forward.
    pub forward: SocketAddr,
    /// Gossip (UDP) and configuration synchronisation (TCP).
    pub peer: SocketAddr,
    /// Admin API for operators and targets.
    pub admin: SocketAddr,
}

/// One node; `child` is none while its process is not running.
#[derive(Debug)]
struct FleetNode {
    id: String,
    addresses: NodeAddresses,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A set of node processes; dropping it kills those that still run.
#[derive(Debug)]
pub struct NodeFleet {
    binary: PathBuf,
    nodes: Vec<FleetNode>,
    _directory: TempDir,
    _lock: TcpListener,
}

impl NodeFleet {
    /// Reserves addresses and writes the settings files of all nodes without starting them.
    pub fn new(plan: &FleetPlan) -> Result<Self, FleetError> {
        let (block, lock) = reserve_block()?;
        let directory =
            TempDir::new().map_err(system_error("create a temporary directory for settings"))?;
        let addresses: Vec<NodeAddresses> = (0..plan.nodes)
            .map(|index| node_addresses(block, index))
            .collect();
        let mut nodes = Vec::new();
        for (index, own) in addresses.iter().enumerate() {
            let node = FleetNode {
                id: format!("node-{index}"),
                addresses: *own,
                settings: directory.path().join(format!("node-{index}.ini")),
                log: directory.path().join(format!("node-{index}.log")),
                child: None,
            };
            let text = settings_text(plan, &node, index, &addresses);
            fs::write(&node.settings, text).map_err(system_error("write a settings file"))?;
            nodes.push(node);
        }
        Ok(Self {
            binary: plan.binary.clone(),
            nodes,
            _directory: directory,
            _lock: lock,
        })
    }

    /// Returns the number of nodes, running or not.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether the fleet has no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the id of a node, for example `node-0`.
    pub fn id(&self, index: usize) -> &str {
        &self.nodes[index].id
    }

    /// Returns the addresses of a node.
    pub fn addresses(&self, index: usize) -> NodeAddresses {
        self.nodes[index].addresses
    }

    /// Returns the process id of a node, or none if it is not running.
    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.nodes[index].child.as_ref().map(Child::id)
    }

    /// Starts or restarts a node; its log is appended to.
    pub fn start(&mut self, index: usize) -> Result<(), FleetError> {
        let node = &mut self.nodes[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&node.log)
            .map_err(system_error("open a log file"))?;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&node.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(system_error(format!("start {}", self.binary.display())))?;
        node.child = Some(child);
        Ok(())
    }

    /// Starts all nodes.
    pub fn start_all(&mut self) -> Result<(), FleetError> {
        (0..self.nodes.len()).try_for_each(|index| self.start(index))
    }

    /// Kills a node with SIGKILL; no effect if it is not running.
    pub fn kill(&mut self, index: usize) -> Result<(), FleetError> {
        let Some(mut child) = self.nodes[index].child.take() else {
            return Ok(());
        };
        child.kill().map_err(system_error("kill a node"))?;
        child
            .wait()
            .map_err(system_error("wait for a killed node"))?;
        Ok(())
    }

    /// Sends SIGTERM, on which a node stops gracefully.
    pub fn terminate(&self, index: usize) -> Result<(), FleetError> {
        self.signal(index, Signal::TERM)
    }

    /// Freezes a node with SIGSTOP.
    pub fn pause(&self, index: usize) -> Result<(), FleetError> {
        self.signal(index, Signal::STOP)
    }

    /// Resumes a frozen node with SIGCONT.
    pub fn resume(&self, index: usize) -> Result<(), FleetError> {
        self.signal(index, Signal::CONT)
    }

    /// Waits up to `limit` until a node has exited by itself, and returns its exit status.
    pub fn wait_exit(&mut self, index: usize, limit: Duration) -> Result<ExitStatus, FleetError> {
        let deadline = Instant::now() + limit;
        let node = &mut self.nodes[index];
        let still_running = FleetError::StillRunning(node.id.clone());
        let Some(child) = node.child.as_mut() else {
            return Err(still_running);
        };
        while Instant::now() < deadline {
            if let Some(status) = child.try_wait().map_err(system_error("wait for a node"))? {
                node.child = None;
                return Ok(status);
            }
            std::thread::sleep(EXIT_POLL);
        }
        Err(still_running)
    }

    /// Returns the log of a node so far; empty if it cannot be read.
    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(&self.nodes[index].log).unwrap_or_default()
    }

    /// Returns the path of the settings file of a node.
    pub fn settings_file(&self, index: usize) -> &Path {
        &self.nodes[index].settings
    }

    fn signal(&self, index: usize, signal: Signal) -> Result<(), FleetError> {
        let id = self
            .process_id(index)
            .and_then(|id| Pid::from_raw(id as i32));
        let Some(id) = id else {
            return Ok(());
        };
        kill_process(id, signal)
            .map_err(|error| system_error("signal a node")(io::Error::from(error)))
    }
}

impl Drop for NodeFleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Reserves a block of loopback addresses for this fleet, so that test processes that run at the same time
/// use different ones; dropping the listener releases the block.
fn reserve_block() -> Result<(u8, TcpListener), FleetError> {
    for block in FIRST_BLOCK..=LAST_BLOCK {
        let address = (Ipv4Addr::new(127, block, 255, 254), LOCK_PORT);
        if let Ok(lock) = TcpListener::bind(address) {
            return Ok((block, lock));
        }
    }
    Err(FleetError::NoAddresses)
}

fn node_addresses(block: u8, index: usize) -> NodeAddresses {
    let third = (index / NODES_PER_OCTET) as u8;
    let fourth = (index % NODES_PER_OCTET) as u8 + 1;
    let ip = IpAddr::V4(Ipv4Addr::new(127, block, third, fourth));
    NodeAddresses {
        call: (ip, CALL_PORT).into(),
        forward: (ip, FORWARD_PORT).into(),
        peer: (ip, PEER_PORT).into(),
        admin: (ip, ADMIN_PORT).into(),
    }
}

fn settings_text(
    plan: &FleetPlan,
    node: &FleetNode,
    index: usize,
    addresses: &[NodeAddresses],
) -> String {
    let domain = &plan.domains[index % plan.domains.len()];
    let own = node.addresses;
    let seeds = seeds_of(index, addresses);
    format!(
        "[node]\nid = {id}\nregion = loopback\nfailure_domain = {domain}\n\
         call_address = {call}\nforward_address = {forward}\n\
         peer_address = {peer}\nadmin_address = {admin}\n\n\
         [platform]\ntable_endpoint = http://{platform}\ntable = poplarwing\n\
         object_endpoint = http://{platform}\nbucket = poplarwing\n\
         signing_region = loopback\naccess_key_id = KEY\nsecret_access_key = SECRET\n\n\
         [gossip]\nseeds = {seeds}\njoin_spread = {join_spread_ms}ms\n\n\
         [log]\nlevel = {level}\ncall_sample = 1%\n\n\
         [operators]\n{OPERATOR_NAME} = {OPERATOR_TOKEN}\n",
        id = node.id,
        call = own.call,
        forward = own.forward,
        peer = own.peer,
        admin = own.admin,
        platform = plan.platform,
        level = plan.log_level,
        join_spread_ms = plan.join_spread.as_millis(),
    )
}

/// Returns the gossip seeds of a node: other nodes spread over the fleet, or itself in a fleet of one.
///
/// The next node is always included. With seeds at equal steps only, nodes can form groups that never
/// discover each other, for example the even and the odd ones of 12 nodes.
fn seeds_of(index: usize, addresses: &[NodeAddresses]) -> String {
    let count = addresses.len();
    let step = (count / (SEEDS_PER_NODE + 1)).max(1);
    let mut indexes: Vec<usize> = (1..SEEDS_PER_NODE)
        .map(|turn| turn * step)
        .chain([1])
        .map(|offset| (index + offset) % count)
        .filter(|seed| *seed != index)
        .collect();
    indexes.sort_unstable();
    indexes.dedup();
    let mut seeds: Vec<String> = indexes
        .into_iter()
        .map(|seed| addresses[seed].peer.to_string())
        .collect();
    if seeds.is_empty() {
        seeds.push(addresses[index].peer.to_string());
    }
    seeds.join(", ")
}
