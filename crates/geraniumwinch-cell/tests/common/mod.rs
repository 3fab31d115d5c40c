//! A cell process in the test's own process.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod memory_store;
pub mod test_node;
pub mod test_worker;
