//! What a courier talks to, on loopback and nowhere else: endpoints that behave as a day of the emulator says, register
//! and platform, open-loop clients, and a courier's process with what it uses. For test suites and for load.
//!
//! Faults come from the same schedule as the emulator's; what sockets cannot show is refused before anything starts.

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
