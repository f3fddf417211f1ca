//! What a host is told, and the sums that it makes of it.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use crate::id::{
    DataCentreId,
    HostId, //
};

use super::{
    Exchange,
    Message,
    MessageKind,
    ROUND_INTERVAL,
    Received,
    SILENCE_TIMEOUT,
    Summary,
    contact, //
};

/// Share of the live hosts that the most complete sum covers, from which on a sum is complete enough
/// for the order of the relays to decide.
const COMPLETE_SHARE: f64 = 0.9;

impl Exchange {
    /// Records a message from a known host. Returns the kind of the message to answer with, or
    /// `None` if no answer is due. Drops a message that isn't newer than the last one.
    pub fn record(
        &mut self,
        from: &HostId,
        mut message: Message,
        now: Duration,
    ) -> Option<MessageKind> {
        self.expire(now);
        let peer = self.peers.get_mut(from)?;
        if peer.last_sent.is_some_and(|last| last >= message.sent) {
            return None;
        }
        peer.last_sent = Some(message.sent);
        peer.heard_at = Some(now);
        if peer.data_centre == self.own.data_centre {
            self.heard_members.insert(from.clone());
        }
        self.view = None;
        if message.kind != MessageKind::Summary {
            // A host speaks for its data centre alone.
            let hosts = &mut message.summary.hosts;
            hosts.retain(|data_centre, _| *data_centre == peer.data_centre);
        }
        if message.kind == MessageKind::Report {
            for presence in message.summary.hosts.values_mut() {
                presence.live_hosts = 1;
                presence.heard_hosts = 1;
            }
        }
        let received = Received {
            at: now,
            summary: Rc::new(message.summary),
            load_times: None,
        };
        match message.kind {
            MessageKind::Report => {
                peer.acts_as_relay = false;
                self.drop_report(from);
                self.members.add_sums(&received.summary);
                self.reports.insert(from.clone(), received);
                Some(MessageKind::Summary)
            }
            MessageKind::Summary => {
                let is_start = self
                    .listed_at
                    .is_none_or(|at| now.saturating_sub(at) < contact::PROVING_TIME);
                peer.contact.record_answer(now, !is_start);
                peer.answer = Some(match message.is_cut {
                    true => complete_loads(received, peer.answer.take()),
                    false => received,
                });
                None
            }
            MessageKind::Region | MessageKind::RegionAnswer => {
                if peer.data_centre == self.own.data_centre {
                    return None;
                }
                peer.contact.record_answer(now, false);
                peer.acts_as_relay = message.kind == MessageKind::Region;
                self.regions.insert(from.clone(), received);
                let data_centre = peer.data_centre.clone();
                // A relay sends its region to the relays that it knows without being asked.
                let is_served =
                    self.is_relay(now) && self.relays_of(&data_centre, now).contains(from);
                let is_question = message.kind == MessageKind::Region;
                (is_question && !is_served).then_some(MessageKind::RegionAnswer)
            }
        }
    }

    /// Removes a host's report from the sum.
    pub(super) fn drop_report(&mut self, id: &HostId) {
        if let Some(report) = self.reports.remove(id) {
            self.members.subtract(&report.summary);
        }
    }

    /// Drops reports that are too old.
    pub(super) fn expire(&mut self, now: Duration) {
        let expired: Vec<HostId> = self
            .reports
            .iter()
            .filter(|(_, report)| !report.is_fresh(now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.drop_report(id);
        }
        if !expired.is_empty() {
            self.view = None;
        }
    }

    /// Returns the hosts of this data centre that report to this one.
    pub fn members_heard(&self, now: Duration) -> impl Iterator<Item = &HostId> {
        let fresh = self
            .reports
            .iter()
            .filter(move |(_, report)| report.is_fresh(now));
        fresh.map(|(id, _)| id)
    }

    /// Returns the observations of the hosts that report to this one, and of this host itself.
    pub fn region(&self, own: &Summary) -> Summary {
        let mut region = self.members_summary();
        region.add(own);
        region
    }

    fn members_summary(&self) -> Summary {
        let mut members = self.members.clone();
        for report in self.reports.values() {
            members.add_maxima(&report.summary);
        }
        // A host that fell silent has still been heard.
        let silent = self.heard_members.len() - self.reports.len().min(self.heard_members.len());
        let silent_count = u32::try_from(silent).unwrap_or(u32::MAX);
        if silent_count > 0 {
            let own = members
                .hosts
                .entry(self.own.data_centre.clone())
                .or_default();
            own.heard_hosts = own.heard_hosts.saturating_add(silent_count);
        }
        members
    }

    /// Returns the observations of the other data centres.
    fn remote_summary(&self, now: Duration) -> Summary {
        let mut regions: BTreeMap<&DataCentreId, Vec<(&HostId, &Rc<Summary>)>> = BTreeMap::new();
        for (id, region) in &self.regions {
            if let Some(peer) = self.peers.get(id)
                && region.is_fresh(now)
            {
                let known = regions.entry(&peer.data_centre).or_default();
                known.push((id, &region.summary));
            }
        }
        let mut remote = Summary::default();
        for (data_centre, mut known) in regions {
            let order = self.order.get(data_centre);
            let rank =
                |id: &HostId| order.and_then(|order| order.iter().position(|other| other == id));
            known.sort_by_key(|(id, _)| rank(id).unwrap_or(usize::MAX));
            if let Some(region) = first_complete(known.into_iter().map(|(_, region)| region)) {
                remote.add(region);
            }
        }
        remote
    }

    /// Returns the observations of all hosts but `asker`, which reports to this host.
    pub fn summary_for(&self, asker: &HostId, own: &Summary, now: Duration) -> Summary {
        let mut summary = self.region(own);
        if let Some(report) = self.reports.get(asker) {
            summary.subtract(&report.summary);
        }
        summary.add(&self.remote_summary(now));
        summary
    }

    /// Returns the observations of all other hosts: the first relay's answer, or the sum of the
    /// reports if this host is the first relay or has no recent answer.
    pub fn view(&mut self, now: Duration) -> Rc<Summary> {
        if let Some((at, view)) = &self.view
            && now.saturating_sub(*at) < ROUND_INTERVAL
        {
            return Rc::clone(view);
        }
        self.expire(now);
        let view = self.build_view(now);
        self.view = Some((now, Rc::clone(&view)));
        view
    }

    fn build_view(&self, now: Duration) -> Rc<Summary> {
        let mut own_sum = self.members_summary();
        own_sum.add(&self.remote_summary(now));
        let own_sum = Rc::new(own_sum);
        let relays = self.relays_of(&self.own.data_centre, now);
        let sums = relays.iter().filter_map(|id| {
            if *id == self.own.id {
                return Some(&own_sum);
            }
            let answer = self.peers.get(id)?.answer.as_ref()?;
            answer.is_fresh(now).then_some(&answer.summary)
        });
        Rc::clone(first_complete(sums).unwrap_or(&own_sum))
    }
}

/// Returns the first sum that covers nearly as many live hosts as any. A relay that has just started
/// or woken hears few hosts at first.
fn first_complete<'a>(
    sums: impl Iterator<Item = &'a Rc<Summary>> + Clone,
) -> Option<&'a Rc<Summary>> {
    let most = sums.clone().map(|sum| sum.live_hosts()).max()?;
    sums.into_iter()
        .find(|sum| f64::from(sum.live_hosts()) >= COMPLETE_SHARE * f64::from(most))
}

/// Adds the loads of the last answer that the new one leaves out, unless they are too old.
fn complete_loads(new: Received, last: Option<Received>) -> Received {
    let mut load_times: BTreeMap<u32, Duration> = new
        .summary
        .loads
        .keys()
        .map(|target| (*target, new.at))
        .collect();
    let Some(last) = last else {
        return Received {
            load_times: Some(load_times),
            ..new
        };
    };
    let mut summary = Rc::unwrap_or_clone(new.summary);
    for (target, load) in &last.summary.loads {
        let arrived_at = match &last.load_times {
            Some(times) => times.get(target).copied().unwrap_or(last.at),
            None => last.at,
        };
        let is_kept = new.at.saturating_sub(arrived_at) < SILENCE_TIMEOUT;
        if is_kept && !summary.loads.contains_key(target) {
            summary.loads.insert(*target, *load);
            load_times.insert(*target, arrived_at);
        }
    }
    Received {
        at: new.at,
        summary: Rc::new(summary),
        load_times: Some(load_times),
    }
}
