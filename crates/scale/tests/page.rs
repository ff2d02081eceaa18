//! Tests that the generated tables of docs/CAPACITY.md match the records in docs/capacity.

use milletturn_scale::figures::{Record, read, write};
use milletturn_scale::page::{check, render_page};
use std::path::{Path, PathBuf};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn copy_records(to: &Path) {
    for entry in std::fs::read_dir(docs().join("capacity")).expect("read docs/capacity") {
        let path = entry.expect("read a folder entry").path();
        std::fs::copy(&path, to.join(path.file_name().expect("a file name")))
            .expect("copy a record file");
    }
}

#[test]
fn the_page_matches_its_records() {
    if let Err(error) = check(&docs().join("CAPACITY.md"), &docs().join("capacity")) {
        panic!("{error}\nregenerate the page: cargo run --release -p milletturn-scale -- page");
    }
}

#[test]
fn a_changed_record_or_a_hand_edited_table_fails_the_check() {
    // guards against a check that compares nothing and so accepts every page
    let folder = tempfile::tempdir().expect("create a temporary folder");
    copy_records(folder.path());
    let page = docs().join("CAPACITY.md");
    check(&page, folder.path()).expect("copied records generate the same page");
    let file = folder.path().join("roles.jsonl");
    let original = read(&file).expect("read the records");
    let changes: [fn(&mut Record) -> bool; 3] = [
        |record| match record {
            Record::Head(head) => {
                head.commit.push('x');
                true
            }
            _ => false,
        },
        |record| match record {
            Record::Fit(fit) => {
                fit.coefficients[1] *= 2.0;
                true
            }
            _ => false,
        },
        |record| match record {
            Record::Point(point) if point.at == 1_700_000.0 => {
                point.value *= 2.0;
                true
            }
            _ => false,
        },
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut records = original.clone();
        assert!(
            records.iter_mut().any(change),
            "change {number} found no record to change"
        );
        write(&file, &records).expect("write the file");
        check(&page, folder.path()).expect_err("a changed record generates another page");
    }

    // a value that is not a number is stored as null, and left out of the tables
    let mut records = original.clone();
    let last = records.iter_mut().rev().find_map(|record| match record {
        Record::Point(point) => Some(point),
        _ => None,
    });
    last.expect("a point record").value = f64::NAN;
    write(&file, &records).expect("write the file");
    let again = read(&file).expect("read the records again");
    assert_eq!(again.len(), original.len());
    render_page("<!-- made: breaks -->\n<!-- end -->\n", folder.path())
        .expect("the value without a number is left out");

    let edited_page = folder.path().join("page.md");
    let text = std::fs::read_to_string(&page).expect("read the page");
    let at = text.find("| **").expect("a measured figure") + "| **".len();
    std::fs::write(&edited_page, format!("{}9{}", &text[..at], &text[at..]))
        .expect("write the file");
    check(&edited_page, &docs().join("capacity"))
        .expect_err("a table edited by hand differs from the records");
}

#[test]
fn a_section_marker_without_end_or_with_an_unknown_name_is_an_error() {
    let figures = docs().join("capacity");
    for text in [
        "<!-- made: plan -->\n",
        "<!-- made: nonsense -->\n<!-- end -->\n",
    ] {
        render_page(text, &figures).expect_err(text);
    }
    let rendered = render_page(
        "before\n<!-- made: plan -->\nold\n<!-- end -->\nbehind\n",
        &figures,
    )
    .expect("a valid section");
    assert!(
        rendered.starts_with("before\n<!-- made: plan -->\n| the size |")
            && !rendered.contains("old"),
        "{rendered}"
    );
    assert!(rendered.ends_with("<!-- end -->\nbehind\n"), "{rendered}");
}
