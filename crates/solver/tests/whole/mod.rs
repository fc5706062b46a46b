//! The plain linear program of a whole problem, with a variable for each class, zone, server and piece
//! of its capacity: what the quick way is held against.

use std::collections::BTreeMap;

use lockcroft_solver::{Class, Problem};
use microlp::{ComparisonOp, OptimizationDirection, Problem as Program};

const PIECES: usize = 16;

fn may(class: &Class, problem: &Problem, server: usize) -> bool {
    let zone = class.zones.is_empty() || class.zones.contains(&problem.servers[server].zone);
    zone && class.servers.as_ref().is_none_or(|servers| servers.contains(&server))
}

/// Contract time over work of those who may come, by the work that they ask for, times the cores of a
/// server that the same classes may use.
fn steep(problem: &Problem, server: usize) -> f64 {
    let mine = |server: usize| -> (usize, Vec<bool>) {
        (
            // Where crossing costs nothing, servers of all zones are alike.
            if problem.crossing > 0.0 { problem.servers[server].zone } else { 0 },
            problem.classes.iter().map(|class| may(class, problem, server)).collect(),
        )
    };
    let usable = |server: usize| !problem.servers[server].withdrawn;
    let alike: Vec<f64> = (0..problem.servers.len())
        .filter(|other| usable(*other) && mine(*other) == mine(server))
        .map(|other| problem.servers[other].capacity)
        .collect();
    let cores = (alike.iter().sum::<f64>() / alike.len() as f64).max(1.0);
    let (mut sum, mut work) = (0.0, 0.0);
    for class in problem.classes.iter().filter(|class| may(class, problem, server)) {
        let asked = class.demand.iter().sum::<f64>() * class.work;
        (sum, work) = (sum + asked * class.contract_time / class.work, work + asked);
    }
    if work > 0.0 { cores * sum / work } else { 0.0 }
}

/// The best total.
pub fn best(problem: &Problem) -> f64 {
    let mut program = Program::new(OptimizationDirection::Maximize);
    let (mut asked, mut room) = (BTreeMap::<_, Vec<_>>::new(), BTreeMap::<_, Vec<_>>::new());
    let (mut work, mut earned) = (0.0, 0.0);
    for class in &problem.classes {
        let own = class.demand.iter().sum::<f64>() * class.work;
        (work, earned) = (work + own, earned + own * class.earnings / class.work);
    }
    let price = if work > 0.0 { earned / work } else { 0.0 };
    for (place, server) in problem.servers.iter().enumerate().filter(|(_, server)| !server.withdrawn) {
        let steep = steep(problem, place);
        let late = |share: f64| share * share * ((-(1.0 - share) * steep).exp() + 1.0 / 1024.0);
        for piece in 0..PIECES {
            let (from, to) = (piece as f64 / PIECES as f64, (piece + 1) as f64 / PIECES as f64);
            let cost = (late(to) - late(from)) * PIECES as f64 * price;
            for (number, class) in problem.classes.iter().enumerate() {
                for zone in (0..problem.zones).filter(|_| may(class, problem, place)) {
                    let crossing = if zone == server.zone { 0.0 } else { problem.crossing };
                    let gain = (class.earnings - crossing) / class.work - cost;
                    let part = program.add_var(gain, (0.0, f64::INFINITY));
                    asked.entry((number, zone)).or_default().push((part, 1.0));
                    room.entry((place, piece)).or_default().push((part, 1.0));
                }
            }
        }
    }
    for ((class, zone), parts) in asked {
        let class = &problem.classes[class];
        program.add_constraint(parts, ComparisonOp::Le, class.demand[zone] * class.work);
    }
    for ((place, _), parts) in room {
        let server = &problem.servers[place];
        program.add_constraint(parts, ComparisonOp::Le, server.capacity * server.warmth / PIECES as f64);
    }
    program.solve().ok().and_then(|outcome| outcome.solution().map(|s| s.objective())).unwrap_or(f64::NAN)
}
