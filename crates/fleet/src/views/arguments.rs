//! Parsing of arguments of operator commands.

use lockcroft::EndpointId;

use crate::error::OperatorError;
use crate::fleet_controller::FleetController;
use crate::weight_scale::WeightScale;

impl FleetController {
    /// Returns the endpoint that `BACKEND/SERVER` names, where the backend is a table or `servers`.
    ///
    /// # Errors
    /// Returns an error if the argument has another form, or names no listed endpoint or no table.
    pub fn find_endpoint(&self, argument: &str) -> Result<EndpointId, OperatorError> {
        let (backend, endpoint) = argument.split_once('/').ok_or(OperatorError::MissingEndpoint)?;
        let tables = self.controller.state().tables.len();
        let table = backend.strip_prefix('t').and_then(|number| number.parse::<usize>().ok());
        if backend != "servers" && table.is_none_or(|table| table >= tables) {
            return Err(OperatorError::NoSuchBackend);
        }
        self.endpoints.find(endpoint).ok_or(OperatorError::NoSuchEndpoint)
    }

    /// Returns the weight of this endpoint that is stated as `N`, in units of [`WeightScale`], or as `N%`, a
    /// percentage of the listed weight.
    ///
    /// # Errors
    /// Returns an error if the text is not a number, or the weight is out of range.
    pub fn parse_weight(&self, endpoint: EndpointId, text: &str) -> Result<f64, OperatorError> {
        match text.strip_suffix('%') {
            Some(percent) => self.parse_percentage(endpoint, percent),
            None => {
                let units: u32 = text.parse().map_err(|_| OperatorError::MalformedWeight)?;
                if units > WeightScale::MAX_UNITS {
                    return Err(OperatorError::MalformedWeight);
                }
                Ok(self.weight_scale.weight(f64::from(units)))
            }
        }
    }

    /// Returns the weight for a percentage of the listed weight.
    fn parse_percentage(&self, endpoint: EndpointId, percent: &str) -> Result<f64, OperatorError> {
        let percent: f64 = percent.parse().map_err(|_| OperatorError::MalformedWeight)?;
        let listed = self.endpoints.listed_weight(endpoint).unwrap_or(1.0);
        let weight = listed * percent / 100.0;
        let is_in_range = (0.0..=self.weight_scale.max_weight).contains(&weight);
        if is_in_range { Ok(weight) } else { Err(OperatorError::MalformedWeight) }
    }
}
