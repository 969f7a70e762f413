//! Endpoints take calls and answer none; some of these run all the same.

use super::{Planned, Strike};
use crate::server::Trouble;

pub(crate) struct Hang;

impl Strike for Hang {
    fn trouble(&self, _: &Planned) -> Option<Trouble> {
        Some(Trouble::Hangs)
    }
}
