//! The endpoints that one proxy is not to use whatever its tables say, and what was sent of that on its stream.
//!
//! A proxy keeps its ejections over a change of streams and does not say which ones it has. So endpoints that some
//! controller may have ejected are restored together with their entries, once a stream.

use std::collections::BTreeSet;

use lockcroft::EndpointId;

use crate::endpoint_list::EndpointList;

/// The ejections of one proxy.
#[derive(Debug)]
pub struct ProxyEjections {
    /// The proxy may hold ejections of an earlier stream.
    may_hold_earlier: bool,
    desired: BTreeSet<EndpointId>,
    /// Ejections that were sent on this stream and not taken back.
    sent: BTreeSet<EndpointId>,
    /// Endpoints that were restored on this stream, so that the proxy surely uses them again.
    restored: BTreeSet<EndpointId>,
}

/// What to send of ejections.
#[derive(Debug, Default)]
pub struct EjectionChanges {
    pub eject: Vec<EndpointId>,
    pub restore: Vec<EndpointId>,
}

impl EjectionChanges {
    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.eject.is_empty() && self.restore.is_empty()
    }
}

impl ProxyEjections {
    /// `without_table`: the proxy holds nothing that any controller assigned.
    pub fn new(without_table: bool) -> Self {
        ProxyEjections {
            may_hold_earlier: !without_table,
            desired: BTreeSet::new(),
            sent: BTreeSet::new(),
            restored: BTreeSet::new(),
        }
    }

    /// The proxy is not to use the endpoint.
    pub fn eject(&mut self, endpoint: EndpointId) {
        self.desired.insert(endpoint);
    }

    /// The proxy may use the endpoint again.
    pub fn restore(&mut self, endpoint: EndpointId) {
        self.desired.remove(&endpoint);
    }

    /// What changed since the last call, which counts as sent.
    pub fn take_changes(&mut self) -> EjectionChanges {
        let changes = EjectionChanges {
            eject: self.desired.difference(&self.sent).copied().collect(),
            restore: self.sent.difference(&self.desired).copied().collect(),
        };
        self.restored.extend(&changes.restore);
        self.sent.clone_from(&self.desired);
        changes
    }

    /// Those of the endpoints that are to be restored with their entries, as the proxy may hold their ejection since
    /// an earlier stream. They count as sent.
    pub fn take_earlier<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a EndpointId>,
        endpoints: &EndpointList,
    ) -> Vec<EndpointId> {
        if !self.may_hold_earlier {
            return Vec::new();
        }
        let suspects = entries.copied().filter(|endpoint| endpoints.may_be_ejected(*endpoint));
        let suspects = suspects.filter(|endpoint| !self.desired.contains(endpoint));
        suspects.filter(|endpoint| self.restored.insert(*endpoint)).collect()
    }
}
