//! Membership by gossip over UDP.
