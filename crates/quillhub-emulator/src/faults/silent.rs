//! Nothing comes back from endpoints, not even for a new connection: a black hole, not a refusal.

use super::{Planned, Strike};
use crate::server::Trouble;

pub(crate) struct Silent;

impl Strike for Silent {
    fn trouble(&self, _: &Planned) -> Option<Trouble> {
        Some(Trouble::Silent)
    }
}
