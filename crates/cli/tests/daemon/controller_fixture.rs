//! A temporary folder with the configuration of a controller, and the controller process.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use lockcroft_scenario::ControllerProcess;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_lockcroft");

pub const SETTINGS: &str = r#"
  <zones><zone name="north"/></zones>
  <kinds><kind name="std"/></kinds>
  <classes><class name="look-up" contract-time="1s" patience="2s" earnings="1"/></classes>
  <fleet report-period="500ms" channel-lines-per-s="8000" queue-most-lines="12000"/>
  <rules unserved-most="2s" drain-grace="2s" cold-share="0.25" warm-within="10s" cold-multiple="3" cold-span="2s"/>
  <proxies/>
"#;

/// Returns an endpoint list of endpoints with these names; nothing listens at their address.
pub fn endpoint_list_xml(names: &[&str]) -> String {
    let entry = |name: &&str| {
        format!("<server name=\"{name}\" zone=\"north\" kind=\"std\" address=\"127.0.0.1:9\"/>\n")
    };
    format!("<roster>\n{}</roster>\n", names.iter().map(entry).collect::<String>())
}

/// The folder with the configuration, the endpoint list, the log and the sockets of a controller.
pub struct ControllerFixture {
    pub folder: tempfile::TempDir,
}

impl ControllerFixture {
    /// Writes a configuration without proxies, with one socket of access level admin and one of level user.
    pub fn new() -> Self {
        let fixture = ControllerFixture { folder: tempfile::tempdir().expect("a folder") };
        let (admin, user) = (fixture.socket(), fixture.path("user.sock"));
        let text = format!(
            "<lockcroft><runtime><listen address=\"unix:{}\" level=\"admin\"/>\n\
             <listen address=\"unix:{}\" level=\"user\"/></runtime>\n<log form=\"json\"/>{SETTINGS}\
             <roster-file path=\"roster.xml\" look-every=\"50ms\"/></lockcroft>\n",
            admin.display(),
            user.display()
        );
        std::fs::write(fixture.path("roster.xml"), endpoint_list_xml(&["e1", "e2"])).expect("written");
        std::fs::write(fixture.path("pilot.xml"), text).expect("written");
        fixture
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub fn socket(&self) -> PathBuf {
        self.path("pilot.sock")
    }

    /// Starts a controller and waits until it answers commands.
    pub fn start_controller(&self) -> ControllerProcess {
        let log = self.path("pilot.log");
        let controller =
            ControllerProcess::start(Path::new(PROGRAM), &self.path("pilot.xml"), &log).expect("started");
        self.wait_for_answer("show info", |output| output.contains("Servers: 2"));
        controller
    }

    pub fn ask(&self, command: &str) -> String {
        let output = run(&["ask", &self.socket().display().to_string(), command]);
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Repeats a command until its answer is as expected, for 10 s at most, and returns that answer.
    pub fn wait_for_answer(&self, command: &str, expected: impl Fn(&str) -> bool) -> String {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let output = self.ask(command);
            if expected(&output) {
                return output;
            }
            assert!(Instant::now() < deadline, "{command}: {output}");
            std::thread::sleep(Duration::from_millis(30));
        }
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.path("pilot.log")).unwrap_or_default()
    }
}

/// Runs the program with these arguments to its end.
pub fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().expect("the program runs")
}
