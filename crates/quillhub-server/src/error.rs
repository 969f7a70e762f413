//! Why an instance cannot start, or go by a new configuration.

use crate::configuration::ConfigurationError;
use std::io;
use std::path::PathBuf;

/// Why [`serve`](crate::serve) cannot run an instance; the text is one line.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The address for gossip with other instances cannot be used.
    #[error("the address for notes cannot be used: {0}")]
    GossipAddress(#[source] io::Error),
    /// The state directory cannot be read, or no segment can be created in it.
    #[error("the lasting folder cannot be used: {0}")]
    StateDirectory(#[source] io::Error),
    /// The clients' address cannot be listened on.
    #[error("the address cannot be listened on: {0}")]
    Listen(#[source] io::Error),
}

/// A file cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct ReadError {
    /// The file.
    pub path: PathBuf,
    /// Why not.
    pub source: io::Error,
}
