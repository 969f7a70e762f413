//! Endpoints refuse connections; those that stood are reset, and what ran there is cut off.

use super::{Planned, Strike};
use crate::server::Trouble;

pub(crate) struct Refuse;

impl Strike for Refuse {
    fn trouble(&self, _: &Planned) -> Option<Trouble> {
        Some(Trouble::Refuses)
    }
}
