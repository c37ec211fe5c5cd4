//! Reads of large documents: which are redirected to the leader, and the compressed form.

use std::io::Read;
use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::publication::Redirects;
use curlewlift_core::publication::Transfer;
use curlewlift_core::state::Document;
use flate2::read::GzDecoder;

/// A document of 3 MB at a host with 10 Mbit/s, while the leader has ten times as much.
const LARGE: Transfer = Transfer {
    bytes: 3_000_000,
    own_link: 1.25e6,
    leader_link: 12.5e6,
};

/// Only what takes long here and less at the leader is worth a second call.
#[test]
fn needless_redirect() {
    let cases = [
        (LARGE, true),
        (
            Transfer {
                bytes: 300_000,
                ..LARGE
            },
            false,
        ),
        (
            Transfer {
                own_link: 12.5e6,
                ..LARGE
            },
            false,
        ),
        (
            Transfer {
                leader_link: 2e6,
                ..LARGE
            },
            false,
        ),
        (
            Transfer {
                own_link: 0.0,
                ..LARGE
            },
            false,
        ),
        (
            Transfer {
                leader_link: 0.0,
                ..LARGE
            },
            false,
        ),
    ];
    for (transfer, is_redirected) in cases {
        let mut redirects = Redirects::default();
        let caller = [10, 0, 0, 1].into();
        let redirected = redirects.redirect(caller, transfer, Instant::default());
        assert_eq!(redirected, is_redirected, "{transfer:?}");
    }
}

/// A caller that can't reach the leader is served here when it comes back, whatever others do.
#[test]
fn unreachable_leader() {
    let mut redirects = Redirects::default();
    let mut redirect = |caller: u8, seconds| {
        let now = Instant::default() + Duration::from_secs(seconds);
        redirects.redirect([10, 0, 0, caller].into(), LARGE, now)
    };
    let calls = [
        (1, 0, true),
        (2, 1, true),
        (1, 2, false),
        (1, 3, true),
        (2, 9, false),
        (1, 13, true),
    ];
    for (caller, seconds, is_redirected) in calls {
        assert_eq!(
            redirect(caller, seconds),
            is_redirected,
            "{caller} {seconds}"
        );
    }
    let forgotten = (0..=255).filter(|caller| redirect(*caller, 100)).count();
    assert_eq!(forgotten, 256);
    assert!(redirect(0, 101), "only the last callers are remembered");
}

/// The compressed form is a file that other programs read.
#[test]
fn unreadable_gzip() {
    for (text, is_compressed) in [("a".repeat(100_000), true), ("{}".to_owned(), false)] {
        let file = Document::pack(&text).to_gzip(&text).expect("not damaged");
        let unpacked = file.as_ref().map(|file| {
            let mut unpacked = String::new();
            let mut decoder = GzDecoder::new(file.as_slice());
            decoder.read_to_string(&mut unpacked).map(|_| unpacked)
        });
        let unpacked = unpacked.transpose().expect("a valid file");
        assert_eq!(unpacked, is_compressed.then_some(text));
    }
}
