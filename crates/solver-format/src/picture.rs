//! Draws the load and the capacity of each endpoint before and after solving, as a bar chart ordered by zone.

use lockcroft_solver::{LoadDistribution, Solution};
use plotters::coord::Shift;
use plotters::prelude::*;

use crate::read::NamedProblem;

/// Height of each of the two charts, in pixels.
const CHART_HEIGHT: u32 = 420;
/// Width of each bar, in pixels, unless the image would be narrower than [`MIN_WIDTH`] or wider than [`MAX_WIDTH`].
const BAR_WIDTH: u32 = 14;
/// Least width of the image, in pixels.
const MIN_WIDTH: u32 = 640;
/// Greatest width of the image, in pixels.
const MAX_WIDTH: u32 = 4000;

/// An error of the drawing library.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct DrawingError(#[from] DrawingAreaErrorKind<std::io::Error>);

/// A part of the image.
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Returns two bar charts as SVG: above, the loads with equal weights and full admission; below, those of the solution.
/// Outlines show available capacities. Filled bars show loads, in red where the load exceeds the capacity.
///
/// # Errors
/// Returns an error if the drawing library fails.
///
/// # Panics
/// Panics if the solution does not belong to the problem.
pub fn solution_svg(named: &NamedProblem, solution: &Solution) -> Result<String, DrawingError> {
    let mut order: Vec<usize> = (0..named.endpoints.len()).collect();
    order.sort_by_key(|endpoint| (named.problem.endpoints[*endpoint].zone, *endpoint));
    let equal_weights = vec![1; named.endpoints.len()];
    let equal_loads = LoadDistribution::new(&named.problem).loads(&equal_weights, &[]);
    let width = (order.len() as u32 * BAR_WIDTH).clamp(MIN_WIDTH, MAX_WIDTH);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (width, 2 * CHART_HEIGHT)).into_drawing_area();
        area.fill(&WHITE)?;
        let (above, below) = area.split_vertically(CHART_HEIGHT);
        draw_chart(&above, "equal weights, all requests admitted", named, &order, &equal_loads)?;
        draw_chart(&below, "as solved", named, &order, &solution.loads)?;
        area.present()?;
    }
    Ok(svg)
}

/// Draws a bar for each endpoint, in the given order of indices.
fn draw_chart(
    area: &Area,
    title: &str,
    named: &NamedProblem,
    order: &[usize],
    loads: &[f64],
) -> Result<(), DrawingError> {
    let capacity = |endpoint: usize| named.problem.endpoints[endpoint].available_capacity();
    let bar_heights = order.iter().map(|endpoint| capacity(*endpoint).max(loads[*endpoint]));
    let max_cores = bar_heights.fold(0.0, f64::max).max(1e-9);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..order.len().max(1) as f64, 0.0..max_cores * 1.05)?;
    let zone_label = |x: &f64| match order.get(*x as usize) {
        Some(endpoint) => named.zones[named.problem.endpoints[*endpoint].zone].clone(),
        None => String::new(),
    };
    chart.configure_mesh().disable_x_mesh().y_desc("cores").x_label_formatter(&zone_label).draw()?;
    let bars = order.iter().enumerate().flat_map(|(position, endpoint)| {
        let left = position as f64;
        let load = loads[*endpoint];
        let capacity = capacity(*endpoint);
        let fill = if load > capacity { RED.mix(0.7) } else { BLUE.mix(0.6) };
        [
            Rectangle::new([(left + 0.15, 0.0), (left + 0.85, load)], fill.filled()),
            Rectangle::new([(left + 0.05, 0.0), (left + 0.95, capacity)], BLACK.stroke_width(1)),
        ]
    });
    chart.draw_series(bars)?;
    Ok(())
}
