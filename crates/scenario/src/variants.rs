//! Variants of a scenario: the same faults and load with other settings or other listed weights, for comparison.

use crate::proxy_fleet::TableSource;

/// The changes that a variant makes to the scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Variant {
    /// The name by which the variant is selected.
    pub name: String,
    /// The names of the elements that are removed from the settings.
    pub without: Vec<String>,
    /// The attributes of the settings that are changed.
    pub overrides: Vec<SettingOverride>,
    /// The listed weights of endpoints by machine type.
    pub weights: Vec<MachineTypeWeight>,
    /// The source from which proxies get their tables, if it differs from the scenario's.
    pub table_source: Option<TableSource>,
}

/// An attribute in the settings that a variant changes.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingOverride {
    /// The name of the element.
    pub element: String,
    /// The value of the attribute `name` of the child that has the attribute; empty for the element itself.
    pub child: String,
    /// The name of the attribute.
    pub attribute: String,
    /// The value; empty if the attribute is removed.
    pub value: String,
}

/// The listed weight of endpoints of a machine type.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineTypeWeight {
    /// The machine type.
    pub machine_type: String,
    /// The weight, above 0.
    pub weight: f64,
}

/// The listed weights that a search tries for a machine type.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchSpace {
    /// The machine type.
    pub machine_type: String,
    /// The weights, each above 0.
    pub weights: Vec<f64>,
}

/// Returns a variant for each combination of one weight per machine type. The variants run without the solver, which
/// would replace the weights.
#[must_use]
pub fn search_variants(spaces: &[SearchSpace]) -> Vec<Variant> {
    let mut variants = vec![Variant { without: vec!["solver".into()], ..Variant::default() }];
    for space in spaces {
        variants = variants.iter().flat_map(|variant| with_each_weight(variant, space)).collect();
    }
    for variant in &mut variants {
        let parts: Vec<String> = variant
            .weights
            .iter()
            .map(|weight| format!("{}={}", weight.machine_type, weight.weight))
            .collect();
        variant.name = parts.join(" ");
    }
    variants
}

/// Returns a copy of the variant for each weight of the machine type.
fn with_each_weight(variant: &Variant, space: &SearchSpace) -> Vec<Variant> {
    let with_weight = |weight: &f64| {
        let mut variant = variant.clone();
        let machine_type = space.machine_type.clone();
        variant.weights.push(MachineTypeWeight { machine_type, weight: *weight });
        variant
    };
    space.weights.iter().map(with_weight).collect()
}
