//! Opening a connection takes so much longer.

use super::{Planned, Strike};
use crate::server::Trouble;
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handshake {
    #[serde(with = "humantime_serde")]
    pub more: Duration,
}

impl Strike for Handshake {
    fn trouble(&self, _: &Planned) -> Option<Trouble> {
        Some(Trouble::Handshake(self.more))
    }
}
