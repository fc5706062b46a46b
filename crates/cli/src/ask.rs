//! `lockcroft ask`: sends one runtime API command to a controller or a proxy.

use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use lockcroft_runtime_api::{Address, request};
use serde_json::json;

use crate::error::{BoxedError, CliError, report};

#[derive(Args)]
pub struct AskCommand {
    /// unix:PATH, /PATH or IP:PORT
    address: Address,
    #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
    command: Vec<String>,
    /// Seconds to wait for the complete answer.
    #[arg(long = "within", value_name = "WITHIN", default_value_t = 5.0)]
    timeout: f64,
    /// Print the address, the command and the lines of the answer as JSON.
    #[arg(long)]
    json: bool,
}

impl AskCommand {
    pub fn run(self) -> ExitCode {
        let line = self.command.join(" ");
        report(self.send(&line).map(|answer| {
            self.print(&line, &answer);
            ExitCode::SUCCESS
        }))
    }

    fn send(&self, line: &str) -> Result<String, CliError> {
        let ask_error = |source: BoxedError| CliError::Ask { address: self.address.clone(), source };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| ask_error(error.into()))?;
        let timeout = Duration::try_from_secs_f64(self.timeout);
        let timeout = timeout.map_err(|error| ask_error(CliError::InvalidTimeout(error).into()))?;
        let answer = runtime.block_on(request(&self.address, line, timeout));
        answer.map_err(|error| ask_error(error.into()))
    }

    fn print(&self, line: &str, answer: &str) {
        if self.json {
            let lines: Vec<&str> = answer.lines().filter(|line| !line.is_empty()).collect();
            println!("{}", json!({"address": self.address.to_string(), "command": line, "lines": lines}));
        } else {
            print!("{}", answer.strip_suffix('\n').unwrap_or(answer));
        }
    }
}
