//! Work from sources to sinks at the greatest gain: successive best paths on a dense little graph,
//! with prices at the nodes that keep every step's arcs non-negative. All figures are whole numbers,
//! so that the answer is exact; of equal paths the one by the lowest places is taken.

/// A source that has work, and a sink that has room; an arc where work may go, at a gain a unit.
#[derive(Clone, Debug, Default)]
pub struct FlowNetwork {
    pub work: Vec<i64>,
    pub room: Vec<i64>,
    /// By source, then by sink; none where it may not go.
    pub gain: Vec<Vec<Option<i64>>>,
}

/// Units that go from each source to each sink, so that no other way gains more. Work stays where it
/// would gain nothing.
pub fn most_gain(net: &FlowNetwork) -> Vec<Vec<i64>> {
    let (sources, sinks) = (net.work.len(), net.room.len());
    let mut state = State {
        flow: vec![vec![0; sinks]; sources],
        left: net.work.clone(),
        room: net.room.clone(),
        price: vec![0; sources + sinks + 2],
        best: net.gain.iter().flatten().flatten().copied().max().unwrap_or(0).max(0),
        net,
    };
    while state.augment() {}
    state.flow
}

struct State<'a> {
    net: &'a FlowNetwork,
    flow: Vec<Vec<i64>>,
    left: Vec<i64>,
    room: Vec<i64>,
    /// By node: sources, sinks, the start of all work, the end of all room.
    price: Vec<i64>,
    /// The best gain of an arc: a unit's cost is what it gains less than this.
    best: i64,
}

const FAR: i64 = i64::MAX;

impl State<'_> {
    fn start(&self) -> usize {
        self.left.len() + self.room.len()
    }

    fn end(&self) -> usize {
        self.start() + 1
    }

    /// Sends as much as goes along the cheapest path from work that is left to room that is left;
    /// `false` once there is none that gains.
    fn augment(&mut self) -> bool {
        let (distance, via) = self.distances();
        let (start, end) = (self.start(), self.end());
        if distance[end] == FAR {
            return false;
        }
        for (price, way) in self.price.iter_mut().zip(&distance) {
            *price += (*way).min(distance[end]);
        }
        let cost = self.price[end] - self.price[start];
        debug_assert!(cost >= 0, "a path that gains more than the best arc");
        if cost >= self.best {
            return false;
        }
        let mut path = vec![end];
        while let Some(node) = path.last().copied().filter(|node| *node != start) {
            path.push(via[node]);
        }
        path.reverse();
        self.send(&path[1..path.len() - 1]);
        true
    }

    /// The cheapest way to each node by costs less prices, and its last step.
    fn distances(&self) -> (Vec<i64>, Vec<usize>) {
        let (sources, nodes, start, end) = (self.left.len(), self.price.len(), self.start(), self.end());
        let (mut distance, mut via, mut done) = (vec![FAR; nodes], vec![start; nodes], vec![false; nodes]);
        distance[start] = 0;
        loop {
            let next = (0..nodes).filter(|node| !done[*node] && distance[*node] != FAR);
            let Some(node) = next.min_by_key(|node| distance[*node]) else { break };
            done[node] = true;
            let mut step = |to: usize, cost: i64| {
                let way = distance[node] + cost + self.price[node] - self.price[to];
                debug_assert!(way >= distance[node], "an arc below nothing");
                if way < distance[to] {
                    (distance[to], via[to]) = (way, node);
                }
            };
            if node == start {
                (0..sources).filter(|source| self.left[*source] > 0).for_each(|source| step(source, 0));
            } else if node < sources {
                let arcs = self.net.gain[node].iter().enumerate();
                let arcs = arcs.filter_map(|(sink, gain)| Some((sink, (*gain)?)));
                arcs.for_each(|(sink, gain)| step(sources + sink, self.best - gain));
            } else if node < start {
                let sink = node - sources;
                if self.room[sink] > 0 {
                    step(end, 0);
                }
                for source in (0..sources).filter(|source| self.flow[*source][sink] > 0) {
                    let gain = self.net.gain[source][sink].unwrap_or(0);
                    step(source, gain - self.best);
                }
            }
        }
        (distance, via)
    }

    /// Sends along sources and sinks in turn: forward to a sink, back to a source that gives up
    /// what it had there.
    fn send(&mut self, path: &[usize]) {
        let sources = self.left.len();
        let (first, last) = (path[0], path[path.len() - 1] - sources);
        let back = path.windows(2).filter(|step| step[0] >= sources);
        let least = back.map(|step| self.flow[step[1]][step[0] - sources]).min().unwrap_or(FAR);
        let units = least.min(self.left[first]).min(self.room[last]);
        for step in path.windows(2) {
            if step[0] < sources {
                self.flow[step[0]][step[1] - sources] += units;
            } else {
                self.flow[step[1]][step[0] - sources] -= units;
            }
        }
        self.left[first] -= units;
        self.room[last] -= units;
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;

    const ZONES: usize = 3;

    /// The best that any spread of whole units gains: all of them are tried, source by source, and of
    /// those that leave the same room the best is kept.
    fn best_of_all(net: &FlowNetwork) -> i64 {
        let mut found: BTreeMap<Vec<i64>, i64> = BTreeMap::from([(net.room.clone(), 0)]);
        for (work, gain) in net.work.iter().zip(&net.gain) {
            let mut next: BTreeMap<Vec<i64>, i64> = BTreeMap::new();
            for (room, sum) in found {
                let mut spreads = vec![(room, sum, *work)];
                for (sink, gain) in gain.iter().enumerate() {
                    let Some(gain) = gain else { continue };
                    for (room, sum, left) in std::mem::take(&mut spreads) {
                        for units in 0..=left.min(room[sink]) {
                            let mut room = room.clone();
                            room[sink] -= units;
                            spreads.push((room, sum + units * gain, left - units));
                        }
                    }
                }
                for (room, sum, _) in spreads {
                    let best = next.entry(room).or_insert(sum);
                    *best = sum.max(*best);
                }
            }
            found = next;
        }
        found.into_values().max().unwrap_or(0)
    }

    fn check(net: &FlowNetwork) -> i64 {
        let flow = most_gain(net);
        let mut sum = 0;
        for (source, row) in flow.iter().enumerate() {
            assert!(row.iter().all(|units| *units >= 0));
            assert!(row.iter().sum::<i64>() <= net.work[source], "{net:?}: more than there is");
            sum +=
                row.iter().zip(&net.gain[source]).map(|(units, gain)| units * gain.unwrap_or(0)).sum::<i64>();
        }
        for (sink, room) in net.room.iter().enumerate() {
            assert!(flow.iter().map(|row| row[sink]).sum::<i64>() <= *room, "{net:?}: beyond its room");
        }
        sum
    }

    /// Every case of the grid: up to 8 servers over 3 zones, two classes of which the second earns
    /// less and is kept out of the third zone in half of the cases, demand of 0, 1 or 3 servers' work
    /// by class and zone (three of the six vary at a time, the others ask for 1), crossing for
    /// nothing, for a part of what the poorer earns, and for more than that.
    #[test]
    fn no_spread_gains_more_on_the_whole_grid() {
        let mut cases = 0;
        for servers in 0..9_i64.pow(3) {
            let room = vec![servers % 9, servers / 9 % 9, servers / 81];
            if room.iter().sum::<i64>() > 8 {
                continue;
            }
            for demand in 0..27 * 2 {
                let vary = [0, 1, 3];
                let three = [vary[demand % 3], vary[demand / 3 % 3], vary[demand / 9 % 3]];
                let one = [1; 3];
                let work = if demand < 27 { [three, one] } else { [one, three] }.concat();
                for (crossing, kept_out) in [0, 1, 3].into_iter().flat_map(|c| [(c, false), (c, true)]) {
                    let gain = |class: usize, zone: usize, sink: usize| {
                        let earns = [5, 2][class] - if zone == sink { 0 } else { crossing };
                        (!(kept_out && class == 1 && sink == 2)).then_some(earns)
                    };
                    let row =
                        |from: usize| (0..ZONES).map(|to| gain(from / ZONES, from % ZONES, to)).collect();
                    let net = FlowNetwork {
                        work: work.clone(),
                        room: room.clone(),
                        gain: (0..6).map(row).collect(),
                    };
                    assert_eq!(check(&net), best_of_all(&net), "{net:?}");
                    cases += 1;
                }
            }
        }
        assert_eq!(cases, 165 * 54 * 6);
    }

    /// The check sees an answer that is not the best.
    #[test]
    fn a_worse_spread_is_told_apart() {
        let net = FlowNetwork { work: vec![1, 1], room: vec![1], gain: vec![vec![Some(2)], vec![Some(5)]] };
        assert_eq!(most_gain(&net), [[0], [1]]);
        assert_eq!(best_of_all(&net), 5, "and not the 2 of who comes first");
    }
}
