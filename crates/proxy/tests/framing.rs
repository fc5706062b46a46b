//! Validation of the framing of requests on a client connection.

use lockcroft_proxy::FramingValidator;
use proptest::prelude::*;

const VALID_REQUESTS: &str = "GET /a HTTP/1.1\r\nhost: x\r\n\r\nPOST /b HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc\
    POST /c HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n4;x=1\r\nwxyz\r\n0\r\n\r\nGET /d HTTP/1.1\r\n\r\n";

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Valid requests pass whatever the size of the pieces, and the validator expects another head afterwards.
    #[test]
    fn valid_requests_pass_in_pieces_of_any_size(size in 1..40_usize) {
        let mut validator = FramingValidator::default();
        for piece in VALID_REQUESTS.as_bytes().chunks(size) {
            prop_assert_eq!(validator.read(piece), Ok(()));
        }
        prop_assert!(validator.is_between_requests());
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = FramingValidator::default().read(&bytes);
    }
}

#[test]
fn ambiguous_framing_is_rejected() {
    for invalid in [
        "POST / HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 3, 4\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: +3\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n-1\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\nabc",
        "GET / HTTP/1.1\r\nx: a\r\n b\r\n\r\n",
        "GET / HTTP/1.1\r\nx: a\n\n",
        "garbage\r\n\r\n",
    ] {
        assert!(FramingValidator::default().read(invalid.as_bytes()).is_err(), "{invalid:?}");
    }
}
