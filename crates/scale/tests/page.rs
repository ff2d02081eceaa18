//! docs/CAPACITY.md says what docs/capacity has, and nothing else.

use milletturn_scale::figures::{Line, read, write};
use milletturn_scale::page::{check, render_page};
use std::path::{Path, PathBuf};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn copied(to: &Path) {
    for entry in std::fs::read_dir(docs().join("capacity")).expect("the folder of figures") {
        let path = entry.expect("an entry").path();
        std::fs::copy(&path, to.join(path.file_name().expect("a name"))).expect("copied");
    }
}

#[test]
fn the_page_says_what_its_figures_say() {
    if let Err(error) = check(&docs().join("CAPACITY.md"), &docs().join("capacity")) {
        panic!("{error}\nmake it anew: cargo run --release -p milletturn-scale -- page");
    }
}

#[test]
fn a_figure_that_changes_is_found_and_so_is_a_table_changed_by_hand() {
    // guards against a check that compares nothing
    let folder = tempfile::tempdir().expect("a folder");
    copied(folder.path());
    let page = docs().join("CAPACITY.md");
    check(&page, folder.path()).expect("a copy is the same");
    let file = folder.path().join("roles.jsonl");
    let sound = read(&file).expect("figures");
    let changes: [fn(&mut Line) -> bool; 3] = [
        |line| match line {
            Line::Head(head) => {
                head.commit.push('x');
                true
            }
            _ => false,
        },
        |line| match line {
            Line::Fit(fit) => {
                fit.coefficients[1] *= 2.0;
                true
            }
            _ => false,
        },
        |line| match line {
            Line::Point(point) if point.at == 1_700_000.0 => {
                point.value *= 2.0;
                true
            }
            _ => false,
        },
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut lines = sound.clone();
        assert!(
            lines.iter_mut().any(change),
            "there is a line to change: {number}"
        );
        write(&file, &lines).expect("written");
        check(&page, folder.path()).expect_err("another figure makes another page");
    }

    // a figure that never came stands as null in a file, and in no table
    let mut lines = sound.clone();
    let last = lines.iter_mut().rev().find_map(|line| match line {
        Line::Point(point) => Some(point),
        _ => None,
    });
    last.expect("a point").value = f64::NAN;
    write(&file, &lines).expect("written");
    let again = read(&file).expect("read again");
    assert_eq!(again.len(), sound.len());
    render_page("<!-- made: breaks -->\n<!-- end -->\n", folder.path()).expect("it is left out");

    let by_hand = folder.path().join("page.md");
    let text = std::fs::read_to_string(&page).expect("the page");
    let at = text.find("| **").expect("a measured figure") + "| **".len();
    std::fs::write(&by_hand, format!("{}9{}", &text[..at], &text[at..])).expect("written");
    check(&by_hand, &docs().join("capacity")).expect_err("a figure typed by hand");
}

#[test]
fn a_mark_without_end_or_of_no_known_name_is_an_error() {
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
    .expect("sound");
    assert!(
        rendered.starts_with("before\n<!-- made: plan -->\n| the size |")
            && !rendered.contains("old"),
        "{rendered}"
    );
    assert!(rendered.ends_with("<!-- end -->\nbehind\n"), "{rendered}");
}
