//! The complete routing state. A batch of commands is staged on a copy of it and then adopted in one short step,
//! so that no request sees a part of the batch.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use nanorand::WyRand;

use super::backend::Backend;
use super::entry::TableEntry;
use super::limits::{DEFAULT_TABLE, LoadBalancingLimits, MAX_WEIGHT};

/// Counters of one class of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassCounters {
    /// The number of requests received.
    pub requests: u64,
    /// The number of requests shed because of the admission rate.
    pub shed: u64,
}

/// The routing state of a proxy. Copies are cheap, as they share each backend until it changes.
#[derive(Clone, Debug)]
pub struct RoutingState {
    /// The proxy's name.
    pub name: String,
    /// The proxy's load balancing settings.
    pub limits: LoadBalancingLimits,
    /// Tables by name.
    pub backends: BTreeMap<String, Rc<Backend>>,
    /// The backend of each class: the map `classes` of the runtime API.
    pub class_map: BTreeMap<String, String>,
    /// Versions of the map that are being prepared, by number.
    pub prepared_maps: BTreeMap<u64, BTreeMap<String, String>>,
    /// The number of the last prepared version, of the map or of tables.
    pub last_prepared_version: u64,
    /// The variables of the scope `proc`, by full name (`proc.NAME`).
    pub variables: BTreeMap<String, i64>,
    /// Counters by class.
    pub class_counters: BTreeMap<String, ClassCounters>,
    /// The number of requests that wait for an endpoint with capacity. Shared by all copies, as it changes while
    /// commands are staged.
    pub queued_requests: Rc<Cell<usize>>,
    pub(super) rng: WyRand,
    /// The number of batches of commands that took effect.
    pub version: u64,
    /// The number of the prepared batch that was committed last.
    pub committed_version: u64,
    /// The greatest epoch (fencing token) that a controller set.
    pub epoch: i64,
}

/// The parts of the routing state that commands change, as of one time.
#[derive(Clone, Debug)]
pub struct TableSet {
    backends: BTreeMap<String, Rc<Backend>>,
    class_map: BTreeMap<String, String>,
    variables: BTreeMap<String, i64>,
}

impl RoutingState {
    /// Returns the state of a proxy at its start, with the default table assigned to each class. `seed` makes its
    /// random choices repeatable.
    #[must_use]
    pub fn new(
        name: &str,
        classes: &[String],
        default_table: &[(String, SocketAddr)],
        limits: LoadBalancingLimits,
        seed: u64,
    ) -> Self {
        let entries =
            default_table.iter().map(|(name, address)| TableEntry::new(name, *address, MAX_WEIGHT, false));
        let backend = Backend::new(limits.policy, entries.collect());
        RoutingState {
            name: name.into(),
            limits,
            backends: BTreeMap::from([(DEFAULT_TABLE.to_string(), Rc::new(backend))]),
            class_map: classes.iter().map(|class| (class.clone(), DEFAULT_TABLE.to_string())).collect(),
            prepared_maps: BTreeMap::new(),
            last_prepared_version: 0,
            variables: BTreeMap::new(),
            class_counters: classes.iter().map(|class| (class.clone(), ClassCounters::default())).collect(),
            queued_requests: Rc::default(),
            rng: WyRand::new_seed(seed),
            version: 0,
            committed_version: 0,
            epoch: i64::MIN,
        }
    }

    /// Returns a copy of the parts that commands change.
    #[must_use]
    pub fn tables(&self) -> TableSet {
        TableSet {
            backends: self.backends.clone(),
            class_map: self.class_map.clone(),
            variables: self.variables.clone(),
        }
    }

    /// Undoes all changes since `tables` was taken. May only be used on a staged copy, as it also resets counters.
    pub fn restore(&mut self, tables: TableSet) {
        self.backends = tables.backends;
        self.class_map = tables.class_map;
        self.variables = tables.variables;
    }

    /// Returns true if commands changed anything since `tables` was taken.
    #[must_use]
    pub fn differs_from(&self, tables: &TableSet) -> bool {
        let same_backend = |(name, backend): (&String, &Rc<Backend>)| {
            tables.backends.get(name).is_some_and(|previous| Rc::ptr_eq(previous, backend))
        };
        let same_backends =
            self.backends.len() == tables.backends.len() && self.backends.iter().all(same_backend);
        !same_backends || self.class_map != tables.class_map || self.variables != tables.variables
    }

    /// Counts a batch of commands that takes effect. Tables that distribute requests differently than in `base` get
    /// the version of the batch.
    pub fn stamp_version(&mut self, base: &TableSet) {
        self.version += 1;
        for (name, backend) in &mut self.backends {
            let unchanged = base
                .backends
                .get(name)
                .is_some_and(|previous| Rc::ptr_eq(previous, backend) || previous.routes_like(backend));
            if !unchanged {
                Rc::make_mut(backend).version = self.version;
            }
        }
    }

    /// Adopts the changes that commands made to a copy of this state, which was taken when it had the tables
    /// `base`. Backends that no command changed stay as they are, with the effects of requests since then.
    pub fn adopt(&mut self, staged: RoutingState, base: &TableSet) {
        let mut current_backends = std::mem::take(&mut self.backends);
        for (name, mut backend) in staged.backends {
            let is_unchanged =
                base.backends.get(&name).is_some_and(|previous| Rc::ptr_eq(previous, &backend));
            let adopted = match current_backends.remove(&name) {
                Some(backend) if is_unchanged => backend,
                Some(mut current) => {
                    Rc::make_mut(&mut current).adopt(&backend);
                    current
                }
                None => {
                    Rc::make_mut(&mut backend).rebuild_chooser();
                    backend
                }
            };
            self.backends.insert(name, adopted);
        }
        self.class_map = staged.class_map;
        self.variables = staged.variables;
        self.prepared_maps = staged.prepared_maps;
        self.version = staged.version;
        self.last_prepared_version = staged.last_prepared_version;
        self.committed_version = staged.committed_version;
        self.epoch = staged.epoch;
    }

    /// Returns the version of a table; 0 if there is no such table.
    #[must_use]
    pub fn table_version(&self, backend: &str) -> u64 {
        self.backends.get(backend).map_or(0, |backend| backend.version)
    }
}
