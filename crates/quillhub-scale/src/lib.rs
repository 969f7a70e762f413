//! Many instances on loopback, for measuring how the cost of an instance grows with one size at a time.
//!
//! A *real* instance is a separate process (`quillhub serve`) under measured load. A *lightweight* instance uses the
//! protocols of an instance with discovery, platform and peers and has its dispatcher state, but runs in one process
//! with hundreds of others and has almost no traffic. A lightweight destination is an id on a shared listener.
//!
//! The modules [`plan`], [`bounds`] and [`fit`] parse an experiment, check its resource needs, and fit its results
//! without I/O but for [`plan::Plan::read`].

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

pub use point::{Measurement, figure, measure};
