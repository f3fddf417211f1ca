//! Extra sends of requests, as far as the budget of their service allows.

use anvil_core::{
    id::ServiceId,
    retry::window::{
        Need,
        Usage, //
    }, //
};
use tokio::time::Instant;

use crate::{
    exchange::{
        RequestContext,
        RequestTrace, //
    },
    gateway::Gateway,
    target::Target, //
};

impl Gateway {
    /// Takes an extra send of a request from the budget of its service, and logs the decision. `target`
    /// is the next target, if it is known yet. Returns `false` if no send is left for this need.
    pub fn try_retry(
        &self,
        request: &RequestContext<'_>,
        trace: &RequestTrace,
        target: Option<&Target>,
        need: Need,
    ) -> bool {
        let (is_granted, usage) = self.take_extra_send(request.service_id, need);
        let age_ms = |at: Instant| at.elapsed().as_millis() as i64;
        spdlog::info!("retry.decided", kv: {
            request = request.metadata.id.as_str(),
            service = request.service_id.as_str(),
            target = target.map_or("", |target| target.id.as_str()),
            need = need.as_str(),
            is_granted,
            since_first_send_ms = trace.first_send_at.map_or(-1, age_ms),
            target_heard_ms = target.and_then(Target::last_heard_at).map_or(-1, age_ms),
            requests = usage.requests,
            extra_sends = usage.extra_sends,
            allowed_sends = usage.allowed_sends,
            is_first_window = self.uptime() < self.settings.bounds.retries.window,
        });
        is_granted
    }

    /// Takes an extra send from the budget of a service. Returns whether one was left, and how much of the
    /// budget is used then.
    pub(crate) fn take_extra_send(&self, service: &ServiceId, need: Need) -> (bool, Usage) {
        let now = self.uptime();
        // Hosts from which nothing is heard may send as well, so every listed host has its share.
        let host_count = self.peers.borrow().listed_host_count();
        let limits = &self.settings.bounds.retries;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets.entry(service.clone()).or_default();
        let is_granted = budget.try_take(limits, host_count, now, need);
        if !is_granted {
            self.metrics.record_retry_denied();
        }
        (is_granted, budget.usage(limits, host_count, now, need))
    }
}
