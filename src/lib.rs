//! Configuration distribution and call routing for a service mesh without a control tier.
//!
//! One node process runs beside each target. Nodes discover each other by gossip, distribute accepted
//! configuration, route calls, and carry out moves (gradual shifts of a service's calls from one version to
//! another). `docs/design.md` describes the architecture.
//!
//! Two kinds of node share the gossip, the distribution of configuration and the verdicts on moves:
//!
//! - `node` applies customers' contracts and carries out each move under a lease in the platform's table; its program
//!   is `poplarwingd`. Its calls pass `call_proxy` and `forward_server`.
//! - `mesh` takes its configuration and moves from the platform's store, where up to two watchers write the steps of a
//!   move; its program is `poplarwing-sidecar` of the platform crate. Its calls pass `mesh::entry` and `mesh::target`.
//!   It does not use the `admin_` modules, `config_store`, `contract`, `controller_pool`, `domain_reader`,
//!   `idempotency_record`, `join`, `lease`, `move_controller`, `node_run` and `platform_store`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod accounts;
pub mod active_config;
pub mod admin_api;
pub mod admin_changes;
pub mod admin_error;
pub mod admin_hooks;
pub mod admin_types;
pub mod apply_gate;
pub mod blackboard;
pub mod call_events;
pub mod call_evidence;
pub mod call_proxy;
pub mod config;
pub mod config_store;
pub mod config_sync;
pub mod contract;
pub mod controller_pool;
pub mod domain_reader;
pub mod event_log;
pub mod forward_server;
pub mod gossip;
pub mod idempotency_record;
pub mod ids;
pub mod ini_file;
pub mod join;
pub mod lease;
pub mod limit_share;
pub mod membership;
pub mod mesh;
pub mod move_controller;
pub mod move_verdict;
pub mod node;
pub mod node_metrics;
pub mod node_run;
pub mod operator_cli;
pub mod operator_client;
pub mod operator_report;
pub mod operator_run;
pub mod platform_store;
pub mod retry_budget;
pub mod route_table;
pub mod settings;
pub mod slot_gate;
pub mod target_client;
pub mod value_rule;
pub mod veto_table;
pub mod wire;
pub mod wire_codec;
