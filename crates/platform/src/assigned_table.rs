//! A table that is assigned to a proxy, and the changes between its last sent and its published state.

use lockcroft::{ClassId, EndpointId};
use lockcroft_host::{Admission, PublishedTable, PublishedTables};

use crate::endpoint_list::EndpointList;
use crate::outbound::{EntryChange, UpdatePart};

/// The published state and the names that update messages are built from.
pub struct PublishedView<'a> {
    pub published: &'a PublishedTables,
    pub endpoints: &'a EndpointList,
    /// The names of all classes, indexed by [`ClassId`].
    pub class_names: &'a [String],
}

impl<'a> PublishedView<'a> {
    /// Returns the name of an endpoint in messages.
    pub fn endpoint_name(&self, endpoint: EndpointId) -> &'a str {
        self.endpoints.name(endpoint)
    }

    fn class_names(&self, classes: &[ClassId]) -> Vec<&'a str> {
        classes.iter().map(|class| self.class_names[*class].as_str()).collect()
    }
}

/// A table that is assigned to some classes of a proxy.
#[derive(Debug)]
pub struct AssignedTable {
    /// The classes that use this table.
    pub classes: Vec<ClassId>,
    /// The table as last sent on this stream; `None` if it was not sent yet.
    last_sent: Option<PublishedTable>,
}

/// Classes of a table that get the same admission.
struct AdmissionGroup {
    admission: Admission,
    classes: Vec<ClassId>,
}

impl AssignedTable {
    /// Creates a table that was not sent yet.
    pub fn new(classes: Vec<ClassId>) -> Self {
        AssignedTable { classes, last_sent: None }
    }

    /// Records the table as sent; later changes are relative to it.
    pub fn record_sent(&mut self, table: PublishedTable) {
        self.last_sent = Some(table);
    }

    /// Returns the parts of a message that bring the proxy from the last sent state to this one; none if nothing
    /// changed. The first part has the changed entries, and the admission if it is the same for all classes of the
    /// table.
    pub fn changes<'a>(&self, table: &PublishedTable, view: &PublishedView<'a>) -> Vec<UpdatePart<'a>> {
        let mut parts = Vec::new();
        let replaces_table = self.last_sent.is_none();
        let entries = self.changed_entries(table, view);
        let admissions = self.changed_admissions(table);
        let is_same_for_all = admissions.len() == 1 && admissions[0].classes.len() == self.classes.len();
        if replaces_table || !entries.is_empty() || is_same_for_all {
            let classes = self.class_names_unless_all(view);
            parts.push(UpdatePart { classes, replaces_table, entries, ..UpdatePart::default() });
        }
        for group in admissions {
            let admission = Some(group.admission.into());
            if !is_same_for_all {
                let classes = Some(view.class_names(&group.classes));
                parts.push(UpdatePart { classes, admission, ..UpdatePart::default() });
            } else if let Some(part) = parts.last_mut() {
                part.admission = admission;
            }
        }
        parts
    }

    /// Returns new and changed weights, followed by removed endpoints with weight 0.
    fn changed_entries<'a>(&self, table: &PublishedTable, view: &PublishedView<'a>) -> Vec<EntryChange<'a>> {
        let unsent = PublishedTable::default();
        let sent = &self.last_sent.as_ref().unwrap_or(&unsent).entries;
        let changed = table.entries.iter().filter(|(endpoint, weight)| sent.get(endpoint) != Some(weight));
        let changed = changed.map(|(endpoint, weight)| (*endpoint, *weight));
        let removed = sent.keys().filter(|endpoint| !table.entries.contains_key(endpoint));
        let removed = removed.map(|endpoint| (*endpoint, 0.0));
        let entry = |(endpoint, weight)| EntryChange { endpoint: view.endpoint_name(endpoint), weight };
        changed.chain(removed).map(entry).collect()
    }

    /// Returns changed admissions, in the order of the first class that gets each.
    fn changed_admissions(&self, table: &PublishedTable) -> Vec<AdmissionGroup> {
        let sent = self.last_sent.as_ref();
        let mut groups: Vec<AdmissionGroup> = Vec::new();
        for class in &self.classes {
            let Some(admission) = table.admissions.get(class) else { continue };
            if sent.and_then(|sent| sent.admissions.get(class)) == Some(admission) {
                continue;
            }
            match groups.iter_mut().find(|group| group.admission == *admission) {
                Some(group) => group.classes.push(*class),
                None => groups.push(AdmissionGroup { admission: *admission, classes: vec![*class] }),
            }
        }
        groups
    }

    /// Returns the names of the table's classes, or `None` if they are all classes.
    fn class_names_unless_all<'a>(&self, view: &PublishedView<'a>) -> Option<Vec<&'a str>> {
        let is_subset = self.classes.len() < view.class_names.len();
        is_subset.then(|| view.class_names(&self.classes))
    }
}
