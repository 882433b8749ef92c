//! HTTP/1.1: the parser, the message writer, the server with its limits and connections, and the client.

pub mod client;
pub mod client_gate;
pub mod connection;
pub mod inbox;
pub mod parse;
pub mod server;
pub mod target;
pub mod write;
