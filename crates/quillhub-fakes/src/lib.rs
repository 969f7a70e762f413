//! Fake servers and clients of a gateway instance on loopback, for tests and load experiments: endpoints that follow a
//! scenario of the simulator, service discovery and platform, and open-loop clients.
//!
//! The crate also starts an instance's process and measures its resource usage. Faults follow the same schedule as in
//! the simulator; scenarios with faults that cannot be reproduced with sockets are refused before anything starts.

pub mod accept;
pub mod clients;
pub mod configuration;
pub mod endpoints;
pub mod http;
pub mod laboratory;
pub mod platform;
pub mod process;
pub mod scratch;
pub mod scripted;
pub mod traffic;
