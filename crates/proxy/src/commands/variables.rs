//! Commands on the variables of the scope `proc`.

use super::error::{CommandError, CommandOutput};
use crate::routing::RoutingState;

/// The maximum number of variables. Controllers set a few for each class.
pub const MAX_VARIABLES: usize = 1024;

impl RoutingState {
    pub(super) fn set_variable(&mut self, name: &str, expression: &str) -> CommandOutput {
        if !name.starts_with("proc.") {
            return Err(CommandError::VariableScope);
        }
        let value = parse_int_expression(expression)?;
        if self.variables.len() >= MAX_VARIABLES && !self.variables.contains_key(name) {
            return Err(CommandError::TooMany { what: "variables", allowed: MAX_VARIABLES });
        }
        self.variables.insert(name.into(), value);
        Ok(String::new())
    }

    pub(super) fn get_variable(&self, name: &str) -> String {
        let value = match name {
            "proc.epoch" => Some(self.epoch),
            "proc.digest" => Some(self.digest()),
            "proc.version" => i64::try_from(self.version).ok(),
            name => self.variables.get(name).copied(),
        };
        match value {
            Some(value) => format!("{name}: type=sint value=<{value}>\n"),
            None => format!("{name}: undefined\n"),
        }
    }
}

/// Parses `int(N)`, the only form of expression that is supported.
pub(crate) fn parse_int_expression(text: &str) -> Result<i64, CommandError> {
    let number = text.strip_prefix("int(").and_then(|rest| rest.strip_suffix(')'));
    number.and_then(|number| number.parse().ok()).ok_or(CommandError::VariableExpression)
}
