//! Nothing comes back from endpoints, not even for a new connection: a black hole, not a refusal.

use super::{Does, Planned, Strike};
use crate::trouble::Trouble;

pub(crate) struct Silent;

impl Strike for Silent {
    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Strike(Trouble::Silent)
    }
}
