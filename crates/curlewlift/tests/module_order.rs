//! The modules of a gateway must not import each other in a cycle. Sixteen modules that did could not be read or
//! changed without each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

/// The modules that each module of a folder imports from the same folder.
fn sibling_imports(folder: &Path) -> BTreeMap<String, BTreeSet<String>> {
    let files = std::fs::read_dir(folder).expect("readable folder");
    let files = files.map(|file| file.expect("folder entry").path());
    let files = files.filter(|path| path.extension().is_some_and(|extension| extension == "rs"));
    let imports = files.map(|path| {
        let text = std::fs::read_to_string(&path).expect("readable source file");
        let uses = text
            .lines()
            .filter_map(|line| line.strip_prefix("use super::"));
        let names = uses.filter_map(|name| name.split([':', ';']).next());
        let stem = path.file_stem().expect("file name").to_string_lossy();
        (stem.into_owned(), names.map(ToOwned::to_owned).collect())
    });
    imports.filter(|(name, _)| name != "mod").collect()
}

#[test]
fn no_import_cycle() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/gateway");
    let mut remaining = sibling_imports(&folder);
    assert!(remaining.len() > 20, "the modules are found");
    loop {
        let names: BTreeSet<_> = remaining.keys().cloned().collect();
        let before = remaining.len();
        remaining.retain(|name, imports| {
            imports
                .iter()
                .any(|import| import != name && names.contains(import))
        });
        if remaining.len() == before {
            break;
        }
    }
    assert!(remaining.is_empty(), "import cycle: {:?}", remaining.keys());
}
