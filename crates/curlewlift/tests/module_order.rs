//! The files of a gateway need each other in one direction only: sixteen of them once made a circle, in which
//! none could be read or changed without the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

/// What each file of a folder needs of the others there.
fn needs(folder: &Path) -> BTreeMap<String, BTreeSet<String>> {
    let files = std::fs::read_dir(folder).expect("a folder");
    let files = files.map(|file| file.expect("a file").path());
    let files = files.filter(|path| path.extension().is_some_and(|end| end == "rs"));
    let needs = files.map(|path| {
        let text = std::fs::read_to_string(&path).expect("a source");
        let uses = text
            .lines()
            .filter_map(|line| line.strip_prefix("use super::"));
        let names = uses.filter_map(|name| name.split([':', ';']).next());
        let stem = path.file_stem().expect("a name").to_string_lossy();
        (stem.into_owned(), names.map(ToOwned::to_owned).collect())
    });
    needs.filter(|(name, _)| name != "mod").collect()
}

#[test]
fn one_direction() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/gateway");
    let mut left = needs(&folder);
    assert!(left.len() > 20, "they are found");
    loop {
        let names: BTreeSet<_> = left.keys().cloned().collect();
        let before = left.len();
        left.retain(|name, needs| {
            needs
                .iter()
                .any(|need| need != name && names.contains(need))
        });
        if left.len() == before {
            break;
        }
    }
    assert!(left.is_empty(), "a circle: {:?}", left.keys());
}
