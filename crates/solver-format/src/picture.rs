//! Load against capacity, before and after: a bar for each server, those of a zone side by side.

use lockcroft_solver::{Answer, LoadDistribution};
use plotters::prelude::*;

use crate::read::NamedProblem;

const HIGH: u32 = 420;
/// A server has so many points at least, up to a picture of a width that can still be looked at.
const SERVER: u32 = 14;
const WIDE: [u32; 2] = [640, 4000];

/// A picture as SVG. Above the servers by equal weights with all let in, below by the answer; outlines
/// are what servers can do now, filled bars what they have, red where that is more than they can do.
///
/// # Errors
/// What the drawing library says.
pub fn picture(named: &NamedProblem, answer: &Answer) -> Result<String, String> {
    let mut order: Vec<usize> = (0..named.servers.len()).collect();
    order.sort_by_key(|place| (named.problem.servers[*place].zone, *place));
    let before = LoadDistribution::new(&named.problem).loads(&vec![1; named.servers.len()], &[]);
    let wide = (order.len() as u32 * SERVER).clamp(WIDE[0], WIDE[1]);
    let mut out = String::new();
    {
        let area = SVGBackend::with_string(&mut out, (wide, 2 * HIGH)).into_drawing_area();
        area.fill(&WHITE).map_err(told)?;
        let (above, below) = area.split_vertically(HIGH);
        chart(&above, "equal weights, all let in", named, &order, &before)?;
        chart(&below, "as solved", named, &order, &answer.loads)?;
        area.present().map_err(told)?;
    }
    Ok(out)
}

fn told<E: std::error::Error + Send + Sync>(wrong: DrawingAreaErrorKind<E>) -> String {
    wrong.to_string()
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn chart(
    area: &Area,
    title: &str,
    named: &NamedProblem,
    order: &[usize],
    loads: &[f64],
) -> Result<(), String> {
    let top = |place: usize| named.problem.servers[place].room().max(loads[place]);
    let most = order.iter().map(|place| top(*place)).fold(0.0, f64::max).max(1e-9);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..order.len().max(1) as f64, 0.0..most * 1.05)
        .map_err(told)?;
    let zone_at = |at: &f64| {
        let place = order.get(*at as usize);
        place.map_or(String::new(), |place| named.zones[named.problem.servers[*place].zone].clone())
    };
    let mut mesh = chart.configure_mesh();
    mesh.disable_x_mesh().y_desc("cores").x_label_formatter(&zone_at).draw().map_err(told)?;
    let bars = order.iter().enumerate().flat_map(|(at, place)| {
        let (left, room, load) = (at as f64, named.problem.servers[*place].room(), loads[*place]);
        let fill = if load > room { RED.mix(0.7) } else { BLUE.mix(0.6) };
        [
            Rectangle::new([(left + 0.15, 0.0), (left + 0.85, load)], fill.filled()),
            Rectangle::new([(left + 0.05, 0.0), (left + 0.95, room)], BLACK.stroke_width(1)),
        ]
    });
    chart.draw_series(bars).map_err(told)?;
    Ok(())
}
