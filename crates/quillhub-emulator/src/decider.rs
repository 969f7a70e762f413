//! What decides for a courier, as the world sees it: the module itself, or whatever is compared with it.

use crate::day::Day;
use quillhub::courier::Courier;
use quillhub::{DestinationId, Hands, Listing, NoticeId, Outcome};
use std::collections::BTreeSet;
use std::time::Duration;

/// A decider for one courier; each method is the one of that name of [`Courier`].
#[allow(clippy::too_many_arguments)]
pub trait Decider {
    fn at(&mut self, now: Duration);
    fn listed(
        &mut self,
        name: &str,
        zone: &str,
        kind: &str,
        owner: DestinationId,
        listing: Listing,
        rate: Option<f64>,
    );
    fn list_ends(&mut self, whole: Option<&BTreeSet<String>>, asked: bool);
    fn list_failed(&mut self) {}
    fn notice(
        &mut self,
        id: NoticeId,
        grade: &str,
        key: Option<u64>,
        limit: Duration,
        tenant: Option<&str>,
        destination: DestinationId,
    ) -> bool;
    fn sent_before(&mut self, _: NoticeId, _sends: u32, _ran: Option<(Duration, &str)>) {}
    fn may_go(&self, _: NoticeId, _send: u32, _now: Duration) -> bool {
        true
    }
    fn outcome(
        &mut self,
        id: NoticeId,
        send: u32,
        outcome: Outcome,
        took: Duration,
        over: bool,
        report: Option<(f64, f64)>,
    );
    fn told_by_courier(&mut self, _: &[u8]) {}
    fn woken(&mut self) {}
    fn settle(&mut self, hands: &mut dyn Hands);
    /// Whether [`Decider::sees`] is to be called before each [`Decider::settle`]; only an oracle wants it.
    fn wants_truth(&self) -> bool {
        false
    }
    /// The calls that an endpoint can take at this instant without turning any away or letting it wait.
    fn sees(&mut self, _room: &dyn Fn(&str) -> usize) {}
}

impl Decider for Courier {
    fn at(&mut self, now: Duration) {
        self.at(now);
    }
    fn listed(
        &mut self,
        name: &str,
        zone: &str,
        kind: &str,
        owner: DestinationId,
        listing: Listing,
        rate: Option<f64>,
    ) {
        self.listed(name, zone, kind, owner, listing, rate);
    }
    fn list_ends(&mut self, whole: Option<&BTreeSet<String>>, asked: bool) {
        self.list_ends(whole, asked);
    }
    fn list_failed(&mut self) {
        self.list_failed();
    }
    fn notice(
        &mut self,
        id: NoticeId,
        grade: &str,
        key: Option<u64>,
        limit: Duration,
        tenant: Option<&str>,
        destination: DestinationId,
    ) -> bool {
        self.notice(id, grade, key, limit, tenant, destination)
    }
    fn sent_before(&mut self, id: NoticeId, sends: u32, ran: Option<(Duration, &str)>) {
        self.sent_before(id, sends, ran);
    }
    fn may_go(&self, id: NoticeId, send: u32, now: Duration) -> bool {
        self.may_go(id, send, now)
    }
    fn outcome(
        &mut self,
        id: NoticeId,
        send: u32,
        outcome: Outcome,
        took: Duration,
        over: bool,
        report: Option<(f64, f64)>,
    ) {
        self.outcome(id, send, outcome, took, over, report);
    }
    fn told_by_courier(&mut self, octets: &[u8]) {
        self.told_by_courier(octets);
    }
    fn woken(&mut self) {
        self.woken();
    }
    fn settle(&mut self, hands: &mut dyn Hands) {
        self.settle(hands);
    }
}

/// What a decider is started with: its chance, its zone, and the day's figures that couriers are told.
pub struct Start<'a> {
    pub seed: u64,
    pub zone: &'a str,
    pub day: &'a Day,
}

/// The real module.
pub fn module(start: &Start) -> Box<dyn Decider> {
    let day = start.day;
    let mut courier = Courier::new(start.seed, day.couriers.count, start.zone);
    courier.room(Some(day.couriers.slots), Some(day.couriers.room), Some(day.couriers.most_sends));
    courier.come_back(Some(day.couriers.longest_wait));
    courier.returning(day.returns.factor, day.returns.start, day.returns.warm_up);
    courier.falls_after(day.returns.push);
    courier.idle_close(day.network.idle_close);
    courier.may_tell(day.couriers.notes);
    courier.key_rest(day.returns.key_rest);
    courier.listing(day.register.form == crate::day::RegisterForm::Watch, day.register.rates.word());
    for grade in &day.grades {
        courier.grade(&grade.name, grade.grade());
    }
    for kind in day.destinations.iter().filter(|kind| kind.routes_apart) {
        courier.routes_apart(&kind.kind);
    }
    for tenant in &day.tenants {
        courier.tenant(&tenant.name, tenant.per_s, tenant.over_share);
    }
    Box::new(courier)
}
