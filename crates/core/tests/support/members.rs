//! Members of views for tests.

use curlewlift_core::view::Member;

/// The member on the host `e` and its place, in one of three halls.
pub(crate) fn member(place: usize, incarnation: u64) -> Member {
    let address = format!("127.0.0.1:{}", 7_000 + place);
    let address = address.parse().expect("an address");
    Member {
        host: format!("e{place}").parse().expect("a name"),
        hall: format!("h{}", place % 3).parse().expect("a name"),
        rpc: address,
        http: address,
        incarnation,
        leaving: false,
        owns: true,
    }
}
