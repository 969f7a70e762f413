//! Many instances at once on loopback, for measuring how an instance's cost grows with one size at a time.
//!
//! A *real* instance is a process of its own (`quillhub serve`) under measured load. A *lightweight* instance speaks
//! the real protocol to discovery, platform and peers and holds the real state of an instance, but shares its
//! process with hundreds of others and carries next to no traffic. A lightweight destination is an id on a shared
//! listener.
//!
//! What is decided without I/O (reading an experiment, its bounds, fits) stands in [`plan`], [`bounds`] and [`fit`].

#![warn(missing_docs)]

pub mod bounds;
mod clients;
mod control;
mod destinations;
pub mod fit;
pub mod fleet;
mod gossip;
mod lightweight;
pub mod machine;
pub mod plan;
mod point;
pub mod results;
mod settings;
mod thread;

pub use point::{Played, figure, play};
