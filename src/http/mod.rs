//! HTTP/1.1: the parser, the message writer, the server with its limits and connections, and the client.

pub mod body;
pub mod buffer;
pub mod client;
pub mod client_gate;
pub mod connection;
pub mod headers;
pub mod inbox;
pub mod input;
pub mod memory;
pub mod parse;
pub mod server;
pub mod target;
pub mod write;
