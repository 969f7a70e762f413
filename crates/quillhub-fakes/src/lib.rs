//! What an instance talks to, on loopback and nowhere else: endpoints that behave as a scenario of the simulator
//! says, service discovery and platform, open-loop clients, and an instance's process with what it uses. For test
//! suites and for load.
//!
//! Faults come from the same schedule as the simulator's; what sockets cannot show is refused before anything starts.

pub mod accept;
pub mod clients;
pub mod configuration;
pub mod endpoints;
pub mod http;
pub mod platform;
pub mod process;
pub mod scratch;
pub mod scripted;
pub mod traffic;
