//! INI text with the line of every key.
