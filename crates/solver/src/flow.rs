//! Maximum-gain flow from sources to sinks.
//!
//! Uses the successive shortest path method for minimum-cost flow on a small dense graph. Node potentials keep all
//! reduced costs non-negative, so that Dijkstra's algorithm applies (Edmonds and Karp, 1972). All numbers are integers,
//! so the result is exact. Ties between paths are broken by the lowest index, so the result is also deterministic.

/// A bipartite network: sources with supply, sinks with capacity, and the gain per unit of flow between them.
#[derive(Clone, Debug, Default)]
pub struct FlowNetwork {
    /// Available units of each source.
    pub supply: Vec<i64>,
    /// Capacity of each sink, in units.
    pub capacity: Vec<i64>,
    /// Gain per unit, by source and then by sink; `None` if flow between them is not allowed.
    pub gain: Vec<Vec<Option<i64>>>,
}

/// Returns the flow with the greatest total gain, in units by source and then by sink. Supply whose flow would not
/// increase the total gain is left unused.
#[must_use]
pub fn max_gain_flow(network: &FlowNetwork) -> Vec<Vec<i64>> {
    let mut search = FlowSearch::new(network);
    while let Some(path) = search.next_path() {
        search.augment_along(&path);
    }
    search.flow
}

/// The distance of a node to which no path leads.
const UNREACHABLE: i64 = i64::MAX;

/// The flow found so far. Node indices are in the order: sources, sinks, the super source (`start`), which feeds all
/// sources, and the super sink (`end`), which drains all sinks.
struct FlowSearch<'a> {
    network: &'a FlowNetwork,
    flow: Vec<Vec<i64>>,
    remaining_supply: Vec<i64>,
    remaining_capacity: Vec<i64>,
    /// Potential of each node: the sum of its distances in all searches so far, each limited to that of the super sink.
    /// The reduced cost of an arc is its cost plus the potential of its tail minus that of its head.
    potential: Vec<i64>,
    /// The greatest gain of an arc, at least 0. The cost of an arc is this minus its gain, which is never negative.
    best_gain: i64,
}

/// The shortest paths from the super source by reduced cost.
struct ShortestPaths {
    /// The length of the shortest path from the super source to each node: the sum of the reduced costs of its arcs, in
    /// the unit of the gains. [`UNREACHABLE`] if no path leads to the node.
    distance: Vec<i64>,
    /// The predecessor of each node on its shortest path.
    previous: Vec<usize>,
}

impl<'a> FlowSearch<'a> {
    fn new(network: &'a FlowNetwork) -> Self {
        let source_count = network.supply.len();
        let sink_count = network.capacity.len();
        FlowSearch {
            network,
            flow: vec![vec![0; sink_count]; source_count],
            remaining_supply: network.supply.clone(),
            remaining_capacity: network.capacity.clone(),
            potential: vec![0; source_count + sink_count + 2],
            best_gain: network.gain.iter().flatten().flatten().copied().max().unwrap_or(0).max(0),
        }
    }

    fn source_count(&self) -> usize {
        self.remaining_supply.len()
    }

    fn start(&self) -> usize {
        self.remaining_supply.len() + self.remaining_capacity.len()
    }

    fn end(&self) -> usize {
        self.start() + 1
    }

    /// Returns the cheapest path from a source with remaining supply to a sink with remaining capacity, without super
    /// source and super sink; `None` if no path has a positive gain.
    fn next_path(&mut self) -> Option<Vec<usize>> {
        let paths = self.shortest_paths();
        let (start, end) = (self.start(), self.end());
        let end_distance = paths.distance[end];
        if end_distance == UNREACHABLE {
            return None;
        }
        for (potential, distance) in self.potential.iter_mut().zip(&paths.distance) {
            *potential += (*distance).min(end_distance);
        }
        let cost = self.potential[end] - self.potential[start];
        debug_assert!(cost >= 0, "a path has a greater gain than the best arc");
        if cost >= self.best_gain {
            return None;
        }
        let mut path = Vec::new();
        let mut node = paths.previous[end];
        while node != start {
            path.push(node);
            node = paths.previous[node];
        }
        path.reverse();
        Some(path)
    }

    /// Runs Dijkstra's algorithm from the super source. Finds the nearest node by a linear scan.
    fn shortest_paths(&self) -> ShortestPaths {
        let node_count = self.potential.len();
        let start = self.start();
        let mut distance = vec![UNREACHABLE; node_count];
        let mut previous = vec![start; node_count];
        let mut is_settled = vec![false; node_count];
        distance[start] = 0;
        loop {
            let reached = (0..node_count).filter(|node| !is_settled[*node] && distance[*node] != UNREACHABLE);
            let Some(node) = reached.min_by_key(|node| distance[*node]) else { break };
            is_settled[node] = true;
            self.for_each_arc(node, |to, cost| {
                let through_node = distance[node] + cost + self.potential[node] - self.potential[to];
                debug_assert!(through_node >= distance[node], "an arc has a negative reduced cost");
                if through_node < distance[to] {
                    distance[to] = through_node;
                    previous[to] = node;
                }
            });
        }
        ShortestPaths { distance, previous }
    }

    /// Calls `visit` with the head and the cost of each arc out of a node that has residual capacity.
    fn for_each_arc(&self, node: usize, mut visit: impl FnMut(usize, i64)) {
        let source_count = self.source_count();
        if node == self.start() {
            for source in (0..source_count).filter(|source| self.remaining_supply[*source] > 0) {
                visit(source, 0);
            }
        } else if node < source_count {
            for (sink, gain) in self.network.gain[node].iter().enumerate() {
                if let Some(gain) = gain {
                    visit(source_count + sink, self.best_gain - gain);
                }
            }
        } else if node < self.start() {
            let sink = node - source_count;
            if self.remaining_capacity[sink] > 0 {
                visit(self.end(), 0);
            }
            // Residual arcs: flow from a source to this sink can be reduced.
            for source in (0..source_count).filter(|source| self.flow[*source][sink] > 0) {
                let gain = self.network.gain[source][sink].unwrap_or(0);
                visit(source, gain - self.best_gain);
            }
        }
    }

    /// Adds as much flow as possible along an augmenting path, which alternates between sources and sinks: a step from
    /// a source to a sink adds flow, and a step from a sink back to a source removes flow.
    fn augment_along(&mut self, path: &[usize]) {
        let source_count = self.source_count();
        let first_source = path[0];
        let last_sink = path[path.len() - 1] - source_count;
        let backward = path.windows(2).filter(|step| step[0] >= source_count);
        let reducible = backward.map(|step| self.flow[step[1]][step[0] - source_count]).min();
        // A path without backward steps removes no flow: `i64::MAX`, the value of `UNREACHABLE`, then means no limit, and
        // only the remaining supply and capacity limit the units.
        let units = reducible
            .unwrap_or(UNREACHABLE)
            .min(self.remaining_supply[first_source])
            .min(self.remaining_capacity[last_sink]);
        for step in path.windows(2) {
            let (from, to) = (step[0], step[1]);
            if from < source_count {
                self.flow[from][to - source_count] += units;
            } else {
                self.flow[to][from - source_count] -= units;
            }
        }
        self.remaining_supply[first_source] -= units;
        self.remaining_capacity[last_sink] -= units;
    }
}
