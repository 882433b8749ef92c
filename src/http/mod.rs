//! HTTP/1.1: parser, writer, limits, the server's connections and the client's calls.

pub mod client;
pub mod connection;
pub mod door;
pub mod inbox;
pub mod parse;
pub mod server;
pub mod target;
pub mod write;
