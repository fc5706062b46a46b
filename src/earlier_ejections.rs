//! Earlier ejections: the endpoints that a proxy may still have ejected by order of an earlier controller.
//!
//! Where proxies keep their ejections when they reconnect, they do not report them. A controller ejects only
//! endpoints that drain, are removed or have started, so these are restored in the message that sends their
//! entries. Both the host's messages and the capacity that is reserved for them follow from this one set.

use std::collections::BTreeSet;

use crate::{EndpointId, EndpointRecord, EndpointStatus};

/// The endpoints that any controller may have ejected.
#[derive(Debug, Default)]
pub struct EarlierEjections {
    possible: BTreeSet<EndpointId>,
}

impl EarlierEjections {
    /// Records that these endpoints are no longer on the endpoint list.
    pub fn record_removed(&mut self, endpoints: impl Iterator<Item = EndpointId>) {
        self.possible.extend(endpoints);
    }

    /// Records a changed entry of the endpoint list.
    pub fn record_change(&mut self, record: &EndpointRecord) {
        if record.status != EndpointStatus::Ready || record.age.is_some() {
            self.possible.insert(record.endpoint);
        }
    }

    /// Returns true if a proxy may still have ejected this endpoint.
    pub fn contains(&self, endpoint: EndpointId) -> bool {
        self.possible.contains(&endpoint)
    }
}
