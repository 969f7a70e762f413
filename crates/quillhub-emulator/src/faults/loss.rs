//! A share of what goes from one zone to another does not arrive.

use super::{Planned, Strike, Wrong, share};
use crate::network::How;
use crate::world::World;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Loss {
    pub share: f64,
    /// Zones that it goes from and to; absent, any.
    #[serde(default)]
    pub from: Option<String>,
    #[serde(default)]
    pub to: Option<String>,
}

impl Strike for Loss {
    fn check(&self) -> Wrong {
        share("what.loss.share", self.share)
    }

    fn begin(&self, number: usize, _: &Planned, world: &mut World) {
        world.spoil(number, &self.from, &self.to, How::Loses(self.share));
    }
}
