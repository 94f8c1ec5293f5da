//! Routing node that runs beside one target and reads its configuration and moves (rollouts) from the platform's
//! store.
//!
//! A call passes two steps. The entry node, which receives it from the caller, selects a target (`entry`, `attempt`,
//! `target_selection`). The node beside that target admits the call and forwards it (`target`, `admission`). Each
//! refusal of the second node states whether the request may have run (`refusal::ExecutionStatus`); one that is made
//! before the target was contacted states that it did not run.

pub mod admission;
pub mod attempt;
pub mod caller_deadline;
pub mod client_connections;
pub mod client_io;
pub mod context;
pub mod drain_orders;
pub mod entry;
pub mod entry_call;
pub mod exchange_trace;
pub mod exposure_limit;
pub mod health_check;
pub mod held_bytes;
pub mod hop;
pub mod http;
pub mod move_driver;
pub mod move_schedule;
pub mod move_step;
pub mod move_sync;
pub mod move_table;
pub mod node;
pub mod node_rank;
pub mod peer_discovery;
pub mod port;
pub mod refusal;
pub mod registry;
pub mod retry_share;
pub mod settings;
pub mod shutdown;
pub mod split;
pub mod startup_wait;
pub mod store_feed;
pub mod store_reader;
pub mod target;
pub mod target_check;
pub mod target_selection;
pub mod target_warmup;
pub mod usage_caps;
