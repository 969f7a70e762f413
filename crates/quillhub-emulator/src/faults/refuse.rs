//! Endpoints refuse connections; those that stood are reset, and what ran there is cut off.

use super::{Does, Planned, Strike};
use crate::trouble::Trouble;

pub(crate) struct Refuse;

impl Strike for Refuse {
    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Strike(Trouble::Refuses)
    }
}
