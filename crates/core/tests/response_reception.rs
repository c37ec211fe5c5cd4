//! Servers that are silent inside a response, and servers that send bytes without end.

mod support;

use std::time::Duration;

use curlewlift_core::clock::Instant;
use curlewlift_core::response::DataEnd;
use curlewlift_core::response::Endless;
use curlewlift_core::response::Part;
use curlewlift_core::response::Reception;
use quickcheck::quickcheck;

use support::time::ms;

/// The elements of a response, with the part that each is of, and whether all that has begun is complete after it.
const ELEMENTS: [(Part, usize, bool); 7] = [
    (Part::Head, 300, true),
    (Part::Framing, 4, true),
    (Part::Event, 60, false),
    (Part::Event, 500, true),
    (Part::Framing, 2, true),
    (Part::Event, 1_500, true),
    (Part::Framing, 7, true),
];

/// Receives the elements in packets of `size` bytes, a millisecond apart but for `silence` before the packet `index`. Returns
/// where the server was silent.
fn receive(size: usize, index: usize, silence: Duration) -> Result<Part, Endless> {
    let mut now = Instant::default();
    let mut reception = Reception::default();
    reception.wait(now);
    let mut packets = 0;
    for (part, length, is_complete) in ELEMENTS {
        for sent in (0..length).step_by(size) {
            now = now + Duration::from_millis(1);
            if packets == index {
                now = now + silence;
            }
            packets += 1;
            let bytes = size.min(length - sent);
            reception.receive(bytes, now, now)?;
            let is_last = sent + bytes == length;
            match part {
                Part::Event if is_last && is_complete => reception.use_data(DataEnd::Boundary),
                Part::Event => reception.use_data(DataEnd::Event),
                Part::Head if is_last => reception.use_data(DataEnd::Boundary),
                _ => {}
            }
            reception.wait(now);
        }
    }
    let longest = reception.longest_silence(now);
    assert!(packets <= index || longest.time >= silence, "{longest:?}");
    Ok(longest.part)
}

quickcheck! {
    /// A sound server may be silent for any time before any packet.
    fn any_silence(size: u8, index: u16, seconds: u8) -> bool {
        let size = usize::from(size % 200) + 1;
        let index = usize::from(index) % (2_300 / size);
        receive(size, index, Duration::from_secs(u64::from(seconds % 31))).is_ok()
    }

    /// A server that completes nothing is cut off after a bounded number of bytes and a bounded time of sending, at any pace.
    fn any_pace(bytes: u16, gap: u16, is_body: bool) -> bool {
        let (bytes, gap) = (usize::from(bytes) + 1, u64::from(gap % 3_000));
        let mut reception = Reception::default();
        if is_body {
            reception.use_data(DataEnd::Boundary);
        }
        let mut arrivals = (1..200_000).map(|number| ms(number * gap));
        let ended = arrivals.find(|now| {
            let received = reception.receive(bytes, *now, *now);
            reception.wait(*now);
            received.is_err()
        });
        ended.is_some_and(|ended| ended <= ms(2_100 + 43 * gap) || gap == 0)
    }
}

/// What is counted against a server ends with the element that is complete, also where the next one begins in the same packet.
#[test]
fn complete_elements() {
    let ends = [
        &[DataEnd::Boundary][..],
        &[DataEnd::Boundary, DataEnd::Event],
        &[DataEnd::NextEvent],
    ];
    for ends in ends {
        let mut reception = Reception::default();
        for number in 1..200 {
            let now = ms(number * 300);
            assert_eq!(reception.receive(80 << 10, now, now), Ok(()), "{ends:?}");
            for end in ends {
                reception.use_data(*end);
            }
            reception.wait(now);
        }
    }
}

/// Bytes that lie in the socket while this process does not run, or does not read, are no silence of the server.
#[test]
fn own_suspension() {
    let mut reception = Reception::default();
    reception.wait(ms(0));
    assert_eq!(reception.receive(10, ms(100), ms(60)), Ok(()));
    reception.wait(ms(100));
    assert_eq!(reception.receive(10, ms(9_000), ms(140)), Ok(()));
    assert_eq!(reception.receive(10, ms(19_000), ms(18_950)), Ok(()));
    let silence = reception.longest_silence(ms(19_010));
    assert_eq!(silence.time, Duration::from_millis(60));
    assert_eq!(silence.part, Part::Start);
}
