//! Variants of a scenario: the same faults and requests with other settings or other listed weights, to be compared
//! side by side.

use crate::proxy_fleet::TableSource;

/// What differs from the scenario as it stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Variant {
    /// By which it is chosen.
    pub name: String,
    /// Elements of the settings that are left out.
    pub without: Vec<String>,
    /// Attributes in the settings that are changed.
    pub overrides: Vec<SettingOverride>,
    /// Listed weights of endpoints by machine type.
    pub weights: Vec<MachineTypeWeight>,
    /// From where proxies get their tables, if not as the scenario has it.
    pub table_source: Option<TableSource>,
}

/// An attribute in the settings that a variant changes.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingOverride {
    /// The element's name.
    pub element: String,
    /// The name of the element's child that has the attribute; empty for the element itself.
    pub child: String,
    /// The attribute's name.
    pub attribute: String,
    /// Its value; empty if the attribute is left out.
    pub value: String,
}

/// The listed weight of endpoints of a machine type.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineTypeWeight {
    /// The machine type.
    pub machine_type: String,
    /// Above 0.
    pub weight: f64,
}

/// Weights of a machine type that a search goes through.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchSpace {
    /// The machine type.
    pub machine_type: String,
    /// Each above 0.
    pub weights: Vec<f64>,
}

/// Every choice of one weight a machine type, as variants that differ in these alone. They go without the solver, which
/// would replace the weights.
#[must_use]
pub fn search_variants(spaces: &[SearchSpace]) -> Vec<Variant> {
    let mut variants = vec![Variant { without: vec!["solver".into()], ..Variant::default() }];
    for space in spaces {
        variants = variants.iter().flat_map(|variant| with_each_weight(variant, space)).collect();
    }
    for variant in &mut variants {
        let parts: Vec<String> =
            variant.weights.iter().map(|of| format!("{}={}", of.machine_type, of.weight)).collect();
        variant.name = parts.join(" ");
    }
    variants
}

fn with_each_weight(variant: &Variant, space: &SearchSpace) -> Vec<Variant> {
    let with_weight = |weight: &f64| {
        let mut variant = variant.clone();
        let machine_type = space.machine_type.clone();
        variant.weights.push(MachineTypeWeight { machine_type, weight: *weight });
        variant
    };
    space.weights.iter().map(with_weight).collect()
}
