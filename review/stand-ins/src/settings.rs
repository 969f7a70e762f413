//! Settings of the gateway, like those of a small deployment.

/// Service class in the settings.
pub struct Class {
    pub name: &'static str,
    /// `free`, `guarded` or `single_shot`.
    pub effect: &'static str,
    pub aim_ms: u64,
    pub give_up_ms: u64,
    /// Time for which destinations drop a repeat, for guarded classes.
    pub memory_ms: u64,
}

impl Class {
    fn json(&self) -> String {
        let Self { name, effect, aim_ms, give_up_ms, memory_ms } = self;
        format!(
            "{{\"name\":\"{name}\",\"effect\":\"{effect}\",\"aimUs\":{},\"giveUpUs\":{},\"importance\":1.0,\"keyScope\":\"all\",\
            \"lateWorth\":0.3,\"memorySpanUs\":{},\"stream\":false}}",
            aim_ms * 1000,
            give_up_ms * 1000,
            memory_ms * 1000
        )
    }
}

pub struct Settings {
    pub classes: Vec<Class>,
    /// `automatic` or `subscribe`.
    pub membership_mode: &'static str,
    pub max_calls: u32,
    pub max_open: u32,
    pub drain_grace_ms: u64,
}

impl Settings {
    pub fn json(&self) -> String {
        let Self { membership_mode, max_calls, max_open, drain_grace_ms, .. } = self;
        let classes: Vec<String> = self.classes.iter().map(Class::json).collect();
        format!(
            "{{\"nInstances\":1,\"me\":0,\"zone\":\"a\",\"failureDomains\":[\"a\"],\"skus\":[\"m\"],\"stages\":[\"partners\"],\
            \"tier\":0,\"workload\":\"deliver\",\"worthBy\":\"request\",\"weights\":\"off\",\"resolutionUs\":5000,\"parties\":[],\
            \"overShareWorth\":0.1,\"membershipMode\":\"{membership_mode}\",\"classes\":[{}],\"clients\":{{\"marksRetry\":false}},\
            \"familyInfo\":{{\"batchByKind\":[1],\"losesWorth\":\"linear\",\"maxCalls\":{max_calls},\"refusedPrice\":0.03,\
            \"separateRoutes\":[false],\"toll\":[0.0]}},\
            \"limits\":{{\"cancel\":true,\"connectTimeoutUs\":1500000,\"idleCloseUs\":10000000,\"maxOpen\":{max_open},\
            \"maxRetryAfterUs\":3000000,\"mostTries\":8,\"peerMessages\":false,\"probing\":false,\"retryAfter\":true,\
            \"secondCopies\":false,\"streamsPerConn\":1}},\
            \"report\":{{\"how\":\"off\",\"names\":[]}},\
            \"rules\":{{\"answerSlackUs\":20000,\"askEveryUs\":10000000,\"drainGraceUs\":{}, \"overloadFactor\":2.0,\
            \"startCapacity\":0.2,\"tipAfterUs\":2000000,\"warmUpUs\":10000000}}}}",
            classes.join(","),
            drain_grace_ms * 1000
        )
    }
}
