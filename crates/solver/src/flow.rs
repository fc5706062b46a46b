//! The flow of greatest gain from sources to sinks.
//!
//! This is the successive shortest path method for minimum-cost flow with node potentials, which keep all reduced costs
//! non-negative so that Dijkstra's search applies (Edmonds and Karp, 1972), on a small dense graph. All numbers are whole,
//! so the result is exact. Of equal paths the one with the lowest indices is taken, so the result is also deterministic.

/// Sources with supply, sinks with capacity, and the gain of each unit that goes from one to the other.
#[derive(Clone, Debug, Default)]
pub struct FlowNetwork {
    /// Units by source.
    pub supply: Vec<i64>,
    /// Units by sink.
    pub capacity: Vec<i64>,
    /// Gain of a unit by source and then by sink; `None` where it may not go.
    pub gain: Vec<Vec<Option<i64>>>,
}

/// The units from each source to each sink with the greatest total gain. Supply that would gain nothing stays.
#[must_use]
pub fn max_gain_flow(network: &FlowNetwork) -> Vec<Vec<i64>> {
    let mut search = FlowSearch::new(network);
    while let Some(path) = search.next_path() {
        search.send_along(&path);
    }
    search.flow
}

/// The distance of a node that can't be reached.
const UNREACHABLE: i64 = i64::MAX;

/// The flow so far. Nodes are numbered: sources, sinks, then the start of all supply and the end of all capacity.
struct FlowSearch<'a> {
    network: &'a FlowNetwork,
    flow: Vec<Vec<i64>>,
    remaining_supply: Vec<i64>,
    remaining_capacity: Vec<i64>,
    /// Potential by node.
    potential: Vec<i64>,
    /// The greatest gain of an arc. The cost of a unit is how much less it gains.
    best_gain: i64,
}

/// The cheapest path to each node by reduced cost.
struct ShortestPaths {
    distance: Vec<i64>,
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

    /// The cheapest path from a source with supply to a sink with capacity, without start and end; `None` if there is
    /// none that gains anything.
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
        debug_assert!(cost >= 0, "a path that gains more than the best arc");
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

    /// Dijkstra's search from the start, with a scan for the nearest node.
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
                debug_assert!(through_node >= distance[node], "an arc of negative reduced cost");
                if through_node < distance[to] {
                    distance[to] = through_node;
                    previous[to] = node;
                }
            });
        }
        ShortestPaths { distance, previous }
    }

    /// Calls back with the head and cost of each arc out of a node that can take more flow.
    fn for_each_arc(&self, node: usize, mut handle: impl FnMut(usize, i64)) {
        let source_count = self.source_count();
        if node == self.start() {
            for source in (0..source_count).filter(|source| self.remaining_supply[*source] > 0) {
                handle(source, 0);
            }
        } else if node < source_count {
            for (sink, gain) in self.network.gain[node].iter().enumerate() {
                if let Some(gain) = gain {
                    handle(source_count + sink, self.best_gain - gain);
                }
            }
        } else if node < self.start() {
            let sink = node - source_count;
            if self.remaining_capacity[sink] > 0 {
                handle(self.end(), 0);
            }
            // Flow that a source sends here can be taken back.
            for source in (0..source_count).filter(|source| self.flow[*source][sink] > 0) {
                let gain = self.network.gain[source][sink].unwrap_or(0);
                handle(source, gain - self.best_gain);
            }
        }
    }

    /// Sends as many units as possible along sources and sinks in turn: forward to a sink, back to a source that gives
    /// up flow to this sink.
    fn send_along(&mut self, path: &[usize]) {
        let source_count = self.source_count();
        let first_source = path[0];
        let last_sink = path[path.len() - 1] - source_count;
        let backward = path.windows(2).filter(|step| step[0] >= source_count);
        let returnable = backward.map(|step| self.flow[step[1]][step[0] - source_count]).min();
        let units = returnable
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
