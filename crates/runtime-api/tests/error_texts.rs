//! The texts of errors, which operators read.

use lockcroft_runtime_api::tables::{read_server_states, read_stat};
use lockcroft_runtime_api::{AccessLevel, Address};

const STATES_HEADER: &str =
    "be_name srv_name srv_addr srv_op_state srv_admin_state srv_uweight srv_check_health srv_port";

fn stat_error(text: &str) -> String {
    read_stat(text).expect_err("malformed").to_string()
}

fn server_states_error(rows: &str) -> String {
    read_server_states(&format!("1\n# {STATES_HEADER}\n{rows}\n")).expect_err("malformed").to_string()
}

#[test]
fn errors_in_counters_name_the_row() {
    assert_eq!(stat_error(""), "no header of show stat");
    assert_eq!(stat_error("garbage"), "no header of show stat");
    assert_eq!(
        stat_error("# pxname,svname,stot,\nt0,e1,1,\nt0,e2,many,\n"),
        "row 2: not a whole number: \"many\""
    );
    assert_eq!(stat_error("# pxname,svname,stot,\nt0,e1\n"), "row 1: 2 of 4 columns");
    assert_eq!(stat_error("# pxname,svname,stot,\n,e1,1,\n"), "row 1: 4 of 4 columns");
}

#[test]
fn errors_in_server_states_name_the_row_and_column() {
    let error = |text: &str| read_server_states(text).expect_err("malformed").to_string();
    assert_eq!(error(""), "show servers state: version 1 expected, not None");
    assert_eq!(error("2\n# be_name\n"), "show servers state: version 1 expected, not Some(\"2\")");
    assert_eq!(error("1\n"), "no header");
    assert_eq!(error("1\n# be_name srv_name\nt0 e1\n"), "no column srv_addr");
    assert_eq!(server_states_error("t0 e1 127.0.0.1"), "row 1: 3 columns");
    assert_eq!(server_states_error("t0 e1 a 2 0 many 0 80"), "row 1: srv_uweight: \"many\"");
    assert_eq!(
        server_states_error("t0 e1 a 2 0 1 0 70000"),
        "out of range integral type conversion attempted"
    );
}

#[test]
fn errors_quote_invalid_addresses_and_levels() {
    let address = "nowhere".parse::<Address>().expect_err("invalid address").to_string();
    assert_eq!(address, "\"nowhere\" is neither unix:PATH nor IP:PORT");
    let level = "root".parse::<AccessLevel>().expect_err("unknown level").to_string();
    assert_eq!(level, "\"root\" is none of user, operator, admin");
}
