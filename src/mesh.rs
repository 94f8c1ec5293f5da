//! Node beside a target whose operator sets routes and moves through the platform's store.
//!
//! A call takes two steps: the entry node chooses a target (`entry`, `attempt`, `choice`), and the node beside that
//! target admits the call and exchanges it (`target`, `admission`). Only the second step reaches a target, so its
//! refusals are always true.

pub mod admission;
pub mod asked_time;
pub mod attempt;
pub mod choice;
pub mod client_io;
pub mod context;
pub mod early_call;
pub mod entry;
pub mod entry_call;
pub mod evidence;
pub mod heard_moves;
pub mod hop;
pub mod http;
pub mod move_board;
pub mod move_driver;
pub mod move_schedule;
pub mod node;
pub mod node_rank;
pub mod orders;
pub mod peers;
pub mod port;
pub mod refusal;
pub mod registry;
pub mod retry_share;
pub mod settings;
pub mod split;
pub mod store_duty;
pub mod target;
