//! Members of views.

use curlewlift_core::view::Member;

/// The member on the host `e` plus `index`, in one of three data halls.
pub(crate) fn member(index: usize, incarnation: u64) -> Member {
    let address = format!("127.0.0.1:{}", 7_000 + index);
    let address = address.parse().expect("an address");
    Member {
        host: format!("e{index}").parse().expect("valid name"),
        hall: format!("h{}", index % 3).parse().expect("valid name"),
        rpc: address,
        http: address,
        incarnation,
        leaving: false,
        owns: true,
    }
}
