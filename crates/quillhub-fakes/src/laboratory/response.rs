//! Responses of an endpoint: what it writes for a call, in which pieces, and what becomes of the connection after them.

use super::plan::{OverPlan, Plan, SpoiltRejectionPlan};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Lengths of the announced body of a malformed rejection, so that its end falls on any place in the reads of an instance.
const SPOILT_BODY_BYTES: RangeInclusive<usize> = 0..=2_100;
/// Maximum delay of a surplus that follows closely.
const CLOSE_DELAY: Duration = Duration::from_millis(10);
/// Maximum delay of a surplus behind a response with status 410, of a copy of it, and of the rest of its head.
const MAX_OVER_DELAY: Duration = Duration::from_millis(150);
/// Maximum time from a response with status 410 to the end of its connection.
const MAX_END_DELAY: Duration = Duration::from_millis(200);
/// What may follow the announced end of a response.
const SURPLUS: [&[u8]; 5] = [
    b" and more",
    b"H",
    b"HTTP/1.1 503 -\r\nConte",
    b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 \0",
];

/// Status of a response which says that the message is over.
pub(super) const STATUS_OVER: u16 = 410;
/// Status of a response which says that the message has had all its attempts.
pub(super) const STATUS_EXHAUSTED: u16 = 504;

/// Interim response.
const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Number of interim responses that an endpoint writes at a time.
const INTERIM_COUNT: usize = 1_000;

/// Whole response with status 410.
const OVER: &[u8] = b"HTTP/1.1 410 -\r\nContent-Length: 4\r\n\r\nover";

/// Returns `true` if the bytes start with a response with status 410.
pub(super) fn is_over(bytes: &[u8]) -> bool {
    bytes.starts_with(b"HTTP/1.1 410")
}

/// Returns `true` if the bytes start with an interim response that is repeated.
pub(super) fn is_interim(bytes: &[u8]) -> bool {
    bytes.starts_with(b"HTTP/1.1 100")
}

/// Form of a response with status 410.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OverShape {
    Whole,
    WithoutBody,
    Chunked,
    /// Behind an interim response.
    AfterInterim,
    /// The rest of the head comes later.
    LateHead,
    /// Cut off within the status line, behind the status.
    TornStatusLine,
    /// Cut off within the head.
    TornHead,
    /// Cut off within the body.
    TornBody,
    /// With bytes behind it.
    WithSurplus,
    /// Written twice.
    Copied,
}

impl OverShape {
    const ALL: [Self; 10] = [
        Self::Whole,
        Self::WithoutBody,
        Self::Chunked,
        Self::AfterInterim,
        Self::LateHead,
        Self::TornStatusLine,
        Self::TornHead,
        Self::TornBody,
        Self::WithSurplus,
        Self::Copied,
    ];

    /// Number of shapes at the start of [`Self::ALL`] in which nothing follows the response.
    const WITHOUT_SURPLUS: usize = 8;

    fn is_torn(self) -> bool {
        matches!(self, Self::TornStatusLine | Self::TornHead | Self::TornBody)
    }

    /// Returns `true` if the response is malformed, so that it does not prove that its call was not executed.
    fn is_malformed(self) -> bool {
        self.is_torn() || matches!(self, Self::WithSurplus | Self::Copied)
    }

    /// Returns the pieces of the response; `delay` is that of the last one, if there are several.
    fn pieces(self, surplus: &[u8], delay: Duration) -> Vec<Piece> {
        let (text, later): (&[u8], &[u8]) = match self {
            Self::Whole => (OVER, b""),
            Self::WithoutBody => (b"HTTP/1.1 410 -\r\nContent-Length: 0\r\n\r\n", b""),
            Self::Chunked => {
                (b"HTTP/1.1 410 -\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nover\r\n0\r\n\r\n", b"")
            }
            Self::AfterInterim => (b"HTTP/1.1 103 Early Hints\r\n\r\n", OVER),
            Self::LateHead => (b"HTTP/1.1 410 -\r\n", b"Content-Length: 4\r\n\r\nover"),
            Self::TornStatusLine => (b"HTTP/1.1 410", b""),
            Self::TornHead => (b"HTTP/1.1 410 -\r\nContent-Le", b""),
            Self::TornBody => (b"HTTP/1.1 410 -\r\nContent-Length: 4\r\n\r\nov", b""),
            Self::WithSurplus => (OVER, surplus),
            Self::Copied => (OVER, OVER),
        };
        let first = Piece::at_once(text.to_vec());
        let is_surplus = matches!(self, Self::WithSurplus | Self::Copied);
        let last = Piece { delay, bytes: later.to_vec(), is_surplus };
        [first, last].into_iter().filter(|piece| !piece.bytes.is_empty()).collect()
    }
}

/// Part of a response, written `delay` after the part before it.
pub(super) struct Piece {
    pub(super) delay: Duration,
    pub(super) bytes: Vec<u8>,
    /// `true` if it is not part of the response, and is written only while no other call waits on the connection.
    pub(super) is_surplus: bool,
}

impl Piece {
    fn at_once(bytes: Vec<u8>) -> Self {
        Self { delay: Duration::ZERO, bytes, is_surplus: false }
    }
}

/// What becomes of the connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    StaysOpen,
    ClosedAfter(Duration),
    ResetAfter(Duration),
}

impl Ending {
    fn draw(rng: &mut Pcg64Mcg, is_torn: bool) -> Self {
        let delay = MAX_END_DELAY.mul_f64(rng.random());
        match rng.random_range(0..4) {
            0 => Self::ResetAfter(if is_torn { Duration::ZERO } else { delay }),
            1 => Self::ClosedAfter(delay),
            _ if is_torn => Self::ClosedAfter(Duration::ZERO),
            _ => Self::StaysOpen,
        }
    }
}

/// Response of an endpoint to one call.
pub(super) struct PlannedResponse {
    pub(super) status: u16,
    pub(super) pieces: Vec<Piece>,
    /// Index of the piece with the status.
    pub(super) status_piece: usize,
    pub(super) ending: Ending,
    /// `true` if the call was executed although the status says that it was not, and the response is malformed.
    pub(super) is_spoilt: bool,
    /// `true` if the response comes without the time that a call takes.
    pub(super) is_immediate: bool,
    /// `true` if the first piece is repeated until the connection is closed.
    pub(super) is_endless: bool,
}

impl PlannedResponse {
    pub(super) fn draw(plan: &Plan, rng: &mut Pcg64Mcg) -> Self {
        let draw = rng.random::<f64>();
        let status = match draw {
            _ if draw < plan.rejected_share => 503,
            _ if draw < plan.rejected_share + plan.failed_share => 500,
            _ => 200,
        };
        if let Some(spoilt) = &plan.spoilt_rejections
            && rng.random::<f64>() < spoilt.share
        {
            return Self::draw_spoilt(spoilt, rng);
        }
        if plan.endless_share > 0.0 && rng.random::<f64>() < plan.endless_share {
            return Self::endless();
        }
        match &plan.over {
            Some(over) if rng.random::<f64>() < over.share => Self::draw_over(over, rng),
            Some(over) if rng.random::<f64>() < over.exhausted_share => Self::whole(STATUS_EXHAUSTED),
            Some(OverPlan { .. }) | None => Self::whole(status),
        }
    }

    fn whole(status: u16) -> Self {
        let bytes = format!("HTTP/1.1 {status} -\r\nContent-Length: 2\r\n\r\nok").into_bytes();
        Self {
            status,
            pieces: vec![Piece::at_once(bytes)],
            status_piece: 0,
            ending: Ending::StaysOpen,
            is_spoilt: false,
            is_immediate: false,
            is_endless: false,
        }
    }

    /// Returns interim responses without end, of a call that is executed.
    fn endless() -> Self {
        let pieces = vec![Piece::at_once(INTERIM.repeat(INTERIM_COUNT))];
        // No piece has a status.
        Self {
            status: 100,
            pieces,
            status_piece: usize::MAX,
            is_spoilt: true,
            is_endless: true,
            ..Self::whole(100)
        }
    }

    fn draw_spoilt(plan: &SpoiltRejectionPlan, rng: &mut Pcg64Mcg) -> Self {
        let max_delay = [Duration::ZERO, CLOSE_DELAY, plan.max_delay][rng.random_range(0..3)];
        let delay = max_delay.mul_f64(rng.random());
        let surplus = SURPLUS[rng.random_range(0..SURPLUS.len())];
        let body = vec![b'x'; rng.random_range(SPOILT_BODY_BYTES)];
        let head = format!("HTTP/1.1 503 -\r\nContent-Length: {}\r\n\r\n", body.len());
        let first = Piece::at_once([head.as_bytes(), &body].concat());
        let last = Piece { delay, bytes: surplus.to_vec(), is_surplus: true };
        Self { status: 503, pieces: vec![first, last], is_spoilt: true, ..Self::whole(503) }
    }

    fn draw_over(plan: &OverPlan, rng: &mut Pcg64Mcg) -> Self {
        let count = if plan.has_surplus { OverShape::ALL.len() } else { OverShape::WITHOUT_SURPLUS };
        let shape = OverShape::ALL[rng.random_range(0..count)];
        let max_delay = [Duration::ZERO, CLOSE_DELAY, MAX_OVER_DELAY][rng.random_range(0..3)];
        let surplus = SURPLUS[rng.random_range(0..SURPLUS.len())];
        Self {
            status: STATUS_OVER,
            pieces: shape.pieces(surplus, max_delay.mul_f64(rng.random())),
            status_piece: usize::from(shape == OverShape::AfterInterim),
            ending: Ending::draw(rng, shape.is_torn()),
            is_spoilt: shape.is_malformed(),
            is_immediate: rng.random(),
            is_endless: false,
        }
    }

    /// Returns the bytes of the response without what follows it, for a copy.
    pub(super) fn first_piece(&self) -> Vec<u8> {
        self.pieces[0].bytes.clone()
    }
}
