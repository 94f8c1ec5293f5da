//! Assembly of a node.
