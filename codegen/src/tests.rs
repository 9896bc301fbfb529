use std::path::Path;

use super::{OUTPUT, generate};

/// Guards against committed code that the generator no longer makes.
#[test]
fn committed_code_is_current() {
    let folder = tempfile::tempdir().unwrap();
    generate(folder.path());
    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(OUTPUT);
    let file = "ragworthub.Peers.rs";
    let read = |folder: &Path| std::fs::read_to_string(folder.join(file)).unwrap();
    assert_eq!(read(folder.path()), read(&committed), "run `cargo run -p codegen`");
}
