//! A table that a proxy is assigned to, and the difference between what was sent of it and what is published.

use lockcroft::{ClassId, EndpointId};
use lockcroft_host::{Admission, PublishedTable, PublishedTables};

use crate::endpoint_list::EndpointList;
use crate::outbound::{EntryChange, UpdatePart};

/// What messages are made from, beside the state of the stream.
pub struct PublishedView<'a> {
    pub published: &'a PublishedTables,
    pub endpoints: &'a EndpointList,
    /// Names of all classes, by their ids.
    pub class_names: &'a [String],
}

impl<'a> PublishedView<'a> {
    /// The name of an endpoint, as messages have it.
    pub fn endpoint_name(&self, endpoint: EndpointId) -> &'a str {
        self.endpoints.name(endpoint)
    }

    fn class_names(&self, classes: &[ClassId]) -> Vec<&'a str> {
        classes.iter().map(|class| self.class_names[*class].as_str()).collect()
    }
}

/// One table of a proxy, for some of its classes.
#[derive(Debug)]
pub struct AssignedTable {
    /// The classes that use this table.
    pub classes: Vec<ClassId>,
    /// The table as it was last sent on this stream.
    last_sent: Option<PublishedTable>,
}

/// Classes of one table that get the same admission.
struct AdmissionGroup {
    admission: Admission,
    classes: Vec<ClassId>,
}

impl AssignedTable {
    /// A table that was not sent yet.
    pub fn new(classes: Vec<ClassId>) -> Self {
        AssignedTable { classes, last_sent: None }
    }

    /// What is sent from now on changes this table.
    pub fn record_sent(&mut self, table: PublishedTable) {
        self.last_sent = Some(table);
    }

    /// The parts that bring the proxy from what was sent to this table; none if nothing changed. The first has the
    /// entries, and the admission where all classes of the table get the same.
    pub fn changes<'a>(&self, table: &PublishedTable, view: &PublishedView<'a>) -> Vec<UpdatePart<'a>> {
        let mut parts = Vec::new();
        let replaces_table = self.last_sent.is_none();
        let entries = self.changed_entries(table, view);
        let admissions = self.changed_admissions(table);
        let is_common = admissions.len() == 1 && admissions[0].classes.len() == self.classes.len();
        if replaces_table || !entries.is_empty() || is_common {
            let classes = self.class_names_unless_all(view);
            parts.push(UpdatePart { classes, replaces_table, entries, ..UpdatePart::default() });
        }
        for group in admissions {
            let admission = Some(group.admission.into());
            if !is_common {
                let classes = Some(view.class_names(&group.classes));
                parts.push(UpdatePart { classes, admission, ..UpdatePart::default() });
            } else if let Some(part) = parts.last_mut() {
                part.admission = admission;
            }
        }
        parts
    }

    /// New and changed weights, then endpoints that left the table.
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

    /// Changed admissions, in the order of the first class that gets each.
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

    fn class_names_unless_all<'a>(&self, view: &PublishedView<'a>) -> Option<Vec<&'a str>> {
        let some = self.classes.len() < view.class_names.len();
        some.then(|| view.class_names(&self.classes))
    }
}
