//! The fronts: a client's request in, its final answer out.

pub mod opensearch;
pub mod platform;
