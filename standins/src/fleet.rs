//! Starts, pauses and ends real node processes on loopback addresses.

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

/// Port that marks a block of loopback addresses as taken.
const LOCK_PORT: u16 = 6999;

/// Port for callers.
const CALL_PORT: u16 = 7000;

/// Port for calls of other nodes.
const FORWARD_PORT: u16 = 7001;

/// Port for gossip and synchronisation.
const PEER_PORT: u16 = 7002;

/// Port for operators.
const ADMIN_PORT: u16 = 7003;

/// First and last second octet of the blocks of loopback addresses.
const FIRST_BLOCK: u8 = 10;
const LAST_BLOCK: u8 = 250;

/// Nodes in one third octet.
const NODES_PER_OCTET: usize = 200;

/// Seeds that each node is given.
const SEEDS_PER_NODE: usize = 5;

/// Time between two looks at an ending process.
const EXIT_POLL: Duration = Duration::from_millis(20);

/// Name of the operator that the nodes know.
pub const OPERATOR_NAME: &str = "tester";

/// Token of that operator.
pub const OPERATOR_TOKEN: &str = "token-of-the-tester-0001";

/// A fleet that could not be set up or controlled.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A file or a process could not be handled.
    #[error("{step}: {cause}")]
    System {
        /// What was being done.
        step: String,
        /// What went wrong.
        cause: io::Error,
    },
    /// All blocks of loopback addresses are taken.
    #[error("reserve loopback addresses: all blocks are taken")]
    NoAddresses,
    /// A process did not end.
    #[error("wait for node {0} to end: it still runs")]
    StillRunning(String),
}

fn system(step: impl Into<String>) -> impl FnOnce(io::Error) -> FleetError {
    let step = step.into();
    move |cause| FleetError::System { step, cause }
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Program of the node.
    pub binary: PathBuf,
    /// Failure domains; nodes are spread over them in turn.
    pub domains: Vec<String>,
    /// Number of nodes.
    pub nodes: usize,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    /// Log filter of the nodes.
    pub log_level: String,
    /// Longest random delay of a node before it reads the store's head at its start.
    pub join_spread: Duration,
}

/// Addresses of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// For callers.
    pub call: SocketAddr,
    /// For calls of other nodes.
    pub forward: SocketAddr,
    /// For gossip and synchronisation.
    pub peer: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// One node and its process, if it runs.
#[derive(Debug)]
struct FleetNode {
    id: String,
    addresses: NodeAddresses,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Node processes; those that still run are killed when it is dropped.
#[derive(Debug)]
pub struct NodeFleet {
    binary: PathBuf,
    nodes: Vec<FleetNode>,
    _folder: TempDir,
    _lock: TcpListener,
}

impl NodeFleet {
    /// Reserves addresses and writes the settings of all nodes; starts none.
    pub fn new(plan: &FleetPlan) -> Result<Self, FleetError> {
        let (block, lock) = reserve_block()?;
        let folder = TempDir::new().map_err(system("make a folder for settings"))?;
        let addresses: Vec<NodeAddresses> = (0..plan.nodes)
            .map(|index| node_addresses(block, index))
            .collect();
        let mut nodes = Vec::new();
        for (index, own) in addresses.iter().enumerate() {
            let node = FleetNode {
                id: format!("node-{index}"),
                addresses: *own,
                settings: folder.path().join(format!("node-{index}.ini")),
                log: folder.path().join(format!("node-{index}.log")),
                child: None,
            };
            let text = settings_text(plan, &node, index, &addresses);
            fs::write(&node.settings, text).map_err(system("write settings"))?;
            nodes.push(node);
        }
        Ok(Self {
            binary: plan.binary.clone(),
            nodes,
            _folder: folder,
            _lock: lock,
        })
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether the fleet has no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the name of a node.
    pub fn id(&self, index: usize) -> &str {
        &self.nodes[index].id
    }

    /// Returns the addresses of a node.
    pub fn addresses(&self, index: usize) -> NodeAddresses {
        self.nodes[index].addresses
    }

    /// Returns the process id of a node that runs.
    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.nodes[index].child.as_ref().map(Child::id)
    }

    /// Starts a node, or starts it again.
    pub fn start(&mut self, index: usize) -> Result<(), FleetError> {
        let node = &mut self.nodes[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&node.log)
            .map_err(system("open a log"))?;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&node.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(system(format!("start {}", self.binary.display())))?;
        node.child = Some(child);
        Ok(())
    }

    /// Starts all nodes.
    pub fn start_all(&mut self) -> Result<(), FleetError> {
        (0..self.nodes.len()).try_for_each(|index| self.start(index))
    }

    /// Kills a node without warning.
    pub fn kill(&mut self, index: usize) -> Result<(), FleetError> {
        let Some(mut child) = self.nodes[index].child.take() else {
            return Ok(());
        };
        child.kill().map_err(system("kill a node"))?;
        child.wait().map_err(system("wait for a killed node"))?;
        Ok(())
    }

    /// Asks a node to stop gracefully.
    pub fn terminate(&self, index: usize) -> Result<(), FleetError> {
        self.signal(index, Signal::TERM)
    }

    /// Freezes a node.
    pub fn pause(&self, index: usize) -> Result<(), FleetError> {
        self.signal(index, Signal::STOP)
    }

    /// Lets a frozen node go on.
    pub fn resume(&self, index: usize) -> Result<(), FleetError> {
        self.signal(index, Signal::CONT)
    }

    /// Waits until a node has ended by itself.
    pub fn wait_exit(&mut self, index: usize, limit: Duration) -> Result<ExitStatus, FleetError> {
        let deadline = Instant::now() + limit;
        let node = &mut self.nodes[index];
        let still_running = FleetError::StillRunning(node.id.clone());
        let Some(child) = node.child.as_mut() else {
            return Err(still_running);
        };
        while Instant::now() < deadline {
            if let Some(status) = child.try_wait().map_err(system("wait for a node"))? {
                node.child = None;
                return Ok(status);
            }
            std::thread::sleep(EXIT_POLL);
        }
        Err(still_running)
    }

    /// Returns what a node has logged so far.
    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(&self.nodes[index].log).unwrap_or_default()
    }

    /// Returns the settings file of a node.
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
        kill_process(id, signal).map_err(|error| system("signal a node")(io::Error::from(error)))
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

/// Reserves a block of loopback addresses; it is free again when the listener is dropped.
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

/// Returns other nodes spread over the fleet, or the node itself if it is alone.
///
/// The next node is always among them: nodes at equal steps alone can form groups that never hear of each
/// other, for example the even and the odd ones of 12 nodes.
fn seeds_of(index: usize, addresses: &[NodeAddresses]) -> String {
    let count = addresses.len();
    let step = (count / (SEEDS_PER_NODE + 1)).max(1);
    let mut chosen: Vec<usize> = (1..SEEDS_PER_NODE)
        .map(|turn| turn * step)
        .chain([1])
        .map(|offset| (index + offset) % count)
        .filter(|seed| *seed != index)
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    let mut seeds: Vec<String> = chosen
        .into_iter()
        .map(|seed| addresses[seed].peer.to_string())
        .collect();
    if seeds.is_empty() {
        seeds.push(addresses[index].peer.to_string());
    }
    seeds.join(", ")
}
