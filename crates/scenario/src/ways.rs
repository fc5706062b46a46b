//! One day in several ways: the same troubles and visits with other terms or other listed weights, to be
//! laid side by side.

use std::path::Path;

use lockcroft_config::{ConfigError, ConfigErrors, Document};
use roxmltree::{Document as Tree, Node};

use crate::day::{Scenario, TableSource};

/// What differs from the day as it stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Variant {
    pub name: String,
    /// Elements of the terms that are left out.
    pub without: Vec<String>,
    /// Attributes of elements of the terms: element, name of its child or nothing, attribute, value; without a
    /// value the attribute is left out.
    pub set: Vec<(String, String, String, String)>,
    /// Listed weights of endpoints by kind.
    pub weights: Vec<(String, f64)>,
    /// How proxies are told, if not as the day has it.
    pub front: Option<TableSource>,
}

/// Weights of a kind that a search tries.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchSpace {
    pub kind: String,
    pub weights: Vec<f64>,
}

/// The ways and the search of a day's file.
pub(crate) fn read(
    document: &Document,
    root: Node,
) -> Result<(Vec<Variant>, Vec<SearchSpace>), ConfigErrors> {
    let (mut ways, mut tries, mut faults) = (Vec::new(), Vec::new(), Vec::new());
    for node in root.children().filter(Node::is_element) {
        let words = |name: &str| node.attribute(name).unwrap_or_default().split_whitespace();
        if node.has_tag_name("way") {
            let wrong = |word: &str, allowed: &str| {
                document.error(node, format!("{word:?} is not to be read"), Some(allowed))
            };
            let set = words("set").map(|word| {
                setting(word)
                    .ok_or_else(|| wrong(word, "element/attribute=value or element/child/attribute=value"))
            });
            let weights = words("weights")
                .map(|word| weight(word).ok_or_else(|| wrong(word, "kind=weight, the weight above 0")));
            ways.push(Variant {
                name: node.attribute("name").unwrap_or_default().into(),
                without: words("without").map(String::from).collect(),
                set: sound(set, &mut faults),
                weights: sound(weights, &mut faults),
                front: node.attribute("front").map(TableSource::named),
            });
        } else if node.has_tag_name("search") {
            let weights = words("weights").filter_map(|word| word.parse().ok()).collect();
            tries.push(SearchSpace { kind: node.attribute("kind").unwrap_or_default().into(), weights });
        }
    }
    if faults.is_empty() { Ok((ways, tries)) } else { Err(ConfigErrors(faults)) }
}

fn sound<T>(all: impl Iterator<Item = Result<T, ConfigError>>, faults: &mut Vec<ConfigError>) -> Vec<T> {
    all.filter_map(|one| one.map_err(|fault| faults.push(fault)).ok()).collect()
}

fn setting(word: &str) -> Option<(String, String, String, String)> {
    let (path, value) = word.split_once('=')?;
    let parts: Vec<&str> = path.split('/').collect();
    match parts[..] {
        [element, attribute] => Some((element.into(), String::new(), attribute.into(), value.into())),
        [element, child, attribute] => Some((element.into(), child.into(), attribute.into(), value.into())),
        _ => None,
    }
}

fn weight(word: &str) -> Option<(String, f64)> {
    let (kind, weight) = word.split_once('=')?;
    weight.parse().ok().filter(|weight| *weight > 0.0).map(|weight| (kind.into(), weight))
}

/// Every choice of one weight a kind, as ways that differ in these alone; without a plan, which would
/// replace them.
pub fn search(tries: &[SearchSpace]) -> Vec<Variant> {
    let mut found = vec![Variant { without: vec!["solver".into()], ..Variant::default() }];
    for SearchSpace { kind, weights } in tries {
        let further = |way: &Variant| {
            let way = way.clone();
            weights.clone().into_iter().map(move |weight| {
                let mut way = way.clone();
                way.weights.push((kind.clone(), weight));
                way
            })
        };
        found = found.iter().flat_map(further).collect();
    }
    for way in &mut found {
        let parts: Vec<String> =
            way.weights.iter().map(|(kind, weight)| format!("{kind}={weight}")).collect();
        way.name = parts.join(" ");
    }
    found
}

impl Scenario {
    /// The day played in this way.
    ///
    /// # Errors
    /// The way names what the day does not have.
    pub fn in_way(&self, way: &Variant) -> Result<Scenario, String> {
        let mut day = self.clone();
        day.relays.front = way.front.unwrap_or(day.relays.front);
        for (kind, weight) in &way.weights {
            let mut like = day.endpoints.iter_mut().filter(|like| like.kind == *kind).peekable();
            like.peek().ok_or_else(|| format!("{}: no endpoints of kind {kind:?}", way.name))?;
            like.for_each(|like| like.weight = *weight);
        }
        for name in &way.without {
            day.terms = edit(&day.terms, &way.name, name, "", |_, node| (node.range(), String::new()))?;
        }
        for (element, child, attribute, value) in &way.set {
            day.terms = edit(&day.terms, &way.name, element, child, |text, node| {
                let range = match node.attribute_node(attribute.as_str()) {
                    Some(there) => there.range(),
                    None => {
                        let at = node.range().start + 1 + node.tag_name().name().len();
                        at..at
                    }
                };
                let space = if text[..range.start].ends_with(' ') { "" } else { " " };
                let new =
                    if value.is_empty() { String::new() } else { format!("{space}{attribute}=\"{value}\"") };
                (range, new)
            })?;
        }
        Ok(day)
    }
}

/// The text with one element of the terms changed.
fn edit(
    terms: &str,
    way: &str,
    element: &str,
    child: &str,
    change: impl Fn(&str, Node) -> (std::ops::Range<usize>, String),
) -> Result<String, String> {
    let text = format!("<terms>{terms}</terms>");
    let tree = Tree::parse(&text).map_err(|e| format!("{}: {e}", Path::new("terms").display()))?;
    let named = |node: &Node| child.is_empty() || node.attribute("name") == Some(child);
    let all = tree.root_element().children().filter(|node| node.has_tag_name(element));
    let mut nodes = all.flat_map(|node| {
        let inside = node.children().filter(move |_| !child.is_empty());
        inside.chain(child.is_empty().then_some(node))
    });
    let node = nodes.find(|node| node.is_element() && named(node));
    let node = node.ok_or_else(|| format!("way {way:?}: the terms have no {element} {child}"))?;
    let (range, new) = change(&text, node);
    let changed = format!("{}{new}{}", &text[..range.start], &text[range.end..]);
    Ok(changed["<terms>".len()..changed.len() - "</terms>".len()].into())
}
