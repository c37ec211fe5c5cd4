//! Where the events of a stream end, and where a stream that broke off is resumed.

use curlewlift_core::sse::Decoder;
use curlewlift_core::sse::Progress;
use curlewlift_core::sse::ResumePoint;
use quickcheck::quickcheck;

/// The events of a stream that arrives in these pieces, and the decoder after it.
fn decode<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> (Vec<String>, Decoder) {
    let mut decoder = Decoder::default();
    let mut events = Vec::new();
    for piece in pieces {
        decoder.push(piece);
        while let Some(event) = decoder.next_event() {
            events.push(String::from_utf8_lossy(&event).into_owned());
        }
    }
    (events, decoder)
}

/// Streams with the events, comments and blank lines that they consist of, and whether they may end there.
const STREAMS: [(&str, &[&str], bool); 18] = [
    ("", &[], true),
    ("data: 1\n\n", &["data: 1\n\n"], true),
    ("data: 1\r\n\r\n", &["data: 1\r\n\r\n"], true),
    ("data: 1\r\r", &["data: 1\r\r"], true),
    ("data: 1\r\n\n", &["data: 1\r\n\n"], true),
    ("id: 1\ndata: 1\n\nid: 2", &["id: 1\ndata: 1\n\n"], false),
    ("data: 1\n", &[], false),
    ("data: 1\r\n", &[], false),
    ("data: 1\r", &[], false),
    ("d", &[], false),
    (": ping\n", &[": ping\n"], true),
    (": pin", &[], false),
    (
        ": a\n: b\ndata: 1\n\n",
        &[": a\n", ": b\n", "data: 1\n\n"],
        true,
    ),
    ("data: 1\n: b\n\n", &["data: 1\n: b\n\n"], true),
    ("data: 1\n: b\n", &[], false),
    ("\n\r\n", &["\n", "\r\n"], true),
    ("\u{feff}data: 1\n\n", &["\u{feff}", "data: 1\n\n"], true),
    ("\u{feff}", &["\u{feff}"], true),
];

#[test]
fn event_ends() {
    for (stream, expected, is_complete) in STREAMS {
        let (events, decoder) = decode([stream.as_bytes()]);
        assert_eq!(events, expected, "{stream:?}");
        assert_eq!(decoder.is_at_boundary(), is_complete, "{stream:?}");
    }
    let (_, decoder) = decode([&b"\xEF\xBB"[..]]);
    assert!(!decoder.is_at_boundary(), "half a byte order mark");
}

/// However a stream is divided into packets, the same bytes are complete after each.
#[test]
fn any_packets() {
    fn same_at_each_cut(parts: Vec<u8>, cuts: Vec<u8>) -> bool {
        const PARTS: [&str; 9] = [
            "\n", "\r", "\r\n", ":", "id: 7", "data: x", "x", "\u{feff}", " ",
        ];
        let parts = parts.into_iter();
        let stream: String = parts
            .map(|part| PARTS[usize::from(part) % PARTS.len()])
            .collect();
        let stream = stream.as_bytes();
        let mut pieces = Vec::new();
        let mut rest = stream;
        for cut in cuts {
            let (piece, tail) = rest.split_at(usize::from(cut % 8).min(rest.len()));
            pieces.push(piece);
            rest = tail;
        }
        pieces.push(rest);
        let (events, decoder) = decode(pieces);
        let (whole_events, whole_decoder) = decode([stream]);
        let complete = stream.len() - decoder.incomplete_bytes();
        events.concat().as_bytes() == &stream[..complete]
            && events.concat() == whole_events.concat()
            && decoder.is_at_boundary() == whole_decoder.is_at_boundary()
            && (decoder.is_at_boundary() == (decoder.incomplete_bytes() == 0))
    }
    quickcheck(same_at_each_cut as fn(Vec<u8>, Vec<u8>) -> bool);
}

/// Events, which of them are new, and where the stream is resumed after them.
#[test]
fn resume_points() {
    let after = |id: &str| Some(ResumePoint::After(id.to_owned()));
    let cases: [(&[&str], &[bool], Option<ResumePoint>); 10] = [
        (&[], &[], Some(ResumePoint::Start)),
        (
            &["id: 1\ndata: a\n\n", "id:2\ndata: b\n\n"],
            &[true, true],
            after("2"),
        ),
        (
            &["id: 2\n\n", "id: 1\n\n", "id: 3\n\n"],
            &[true, false, true],
            after("3"),
        ),
        (&["data: a\n\n"], &[true], None),
        (&["id: 1\ndata: a\n\n", "data: b\n\n"], &[true, true], None),
        (
            &["data: a\n\n", "id: 1\ndata: b\n\n"],
            &[true, true],
            after("1"),
        ),
        (
            &[": ping\n", "retry: 10\n\n"],
            &[true, true],
            Some(ResumePoint::Start),
        ),
        (
            &["\u{feff}", "id: 1\ndata: a\n\n", "\u{feff}"],
            &[true, true, false],
            after("1"),
        ),
        (&["id: a-7\r\n\r", "\n"], &[true, true], after("a-7")),
        (
            &["id: 2\r\r", "id: 1\r\r", "\n"],
            &[true, false, false],
            after("2"),
        ),
    ];
    for (events, are_new, resume_point) in cases {
        let mut progress = Progress::default();
        let recorded = events.iter().map(|event| progress.record(event.as_bytes()));
        assert_eq!(recorded.collect::<Vec<_>>(), are_new, "{events:?}");
        assert_eq!(progress.resume_point(), resume_point, "{events:?}");
    }
}
