//! The endpoints that are ejected at a proxy, and the ejections that were sent on its stream.
//!
//! A proxy keeps its ejections when it reconnects and does not report them, also before it has its first table. So endpoints that any controller may have
//! ejected are restored once per stream, in the message that sends their entries.

use std::collections::BTreeSet;

use lockcroft::{Controller, EndpointId};

/// The ejections of one proxy.
#[derive(Debug, Default)]
pub struct ProxyEjections {
    /// Endpoints that should be ejected.
    desired: BTreeSet<EndpointId>,
    /// Ejections that were sent on this stream and not restored since.
    sent: BTreeSet<EndpointId>,
    /// Endpoints that were restored on this stream, so that no earlier ejection of them remains.
    restored: BTreeSet<EndpointId>,
}

/// Changes of ejections to send.
#[derive(Debug, Default)]
pub struct EjectionChanges {
    pub eject: Vec<EndpointId>,
    pub restore: Vec<EndpointId>,
}

impl EjectionChanges {
    /// Returns true if there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.eject.is_empty() && self.restore.is_empty()
    }
}

impl ProxyEjections {
    /// Ejects an endpoint.
    pub fn eject(&mut self, endpoint: EndpointId) {
        self.desired.insert(endpoint);
    }

    /// Restores an endpoint.
    pub fn restore(&mut self, endpoint: EndpointId) {
        self.desired.remove(&endpoint);
    }

    /// Returns the changes since the last call; they count as sent.
    pub fn take_changes(&mut self) -> EjectionChanges {
        let changes = EjectionChanges {
            eject: self.desired.difference(&self.sent).copied().collect(),
            restore: self.sent.difference(&self.desired).copied().collect(),
        };
        self.restored.extend(&changes.restore);
        self.sent.clone_from(&self.desired);
        changes
    }

    /// Returns the endpoints of these entries that have to be restored, as the proxy may have ejected them on an
    /// earlier stream. They count as sent.
    pub fn take_earlier_ejections<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a EndpointId>,
        controller: &Controller,
    ) -> Vec<EndpointId> {
        let candidates = entries.copied().filter(|endpoint| controller.may_be_ejected(*endpoint));
        let candidates = candidates.filter(|endpoint| !self.desired.contains(endpoint));
        candidates.filter(|endpoint| self.restored.insert(*endpoint)).collect()
    }
}
