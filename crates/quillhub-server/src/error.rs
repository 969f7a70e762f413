//! Errors of starting an instance and of reading its configuration file.

use crate::configuration::ConfigurationError;
use std::io;
use std::path::PathBuf;

/// Error of [`serve`](crate::serve). The text is a single line.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The socket for gossip with other instances cannot be opened.
    #[error("the gossip address (peer_listen) cannot be used: {0}")]
    GossipAddress(#[source] io::Error),
    /// The state directory cannot be read, or no segment can be created in it.
    #[error("the state directory cannot be used: {0}")]
    StateDirectory(#[source] io::Error),
    /// The address for clients cannot be bound.
    #[error("the client address (listen) cannot be used: {0}")]
    Listen(#[source] io::Error),
}

/// Error of reading a configuration file.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct ReadError {
    /// Path of the file.
    pub path: PathBuf,
    /// Error of the file system.
    pub source: io::Error,
}
