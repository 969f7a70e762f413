//! Endpoints take calls and answer none; some of these run all the same.

use super::{Does, Planned, Strike};
use crate::trouble::Trouble;

pub(crate) struct Hang;

impl Strike for Hang {
    fn does(&self, _: &Planned) -> Does<'_> {
        Does::Strike(Trouble::Hangs)
    }
}
