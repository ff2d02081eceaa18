//! Checks the documentation against the repository: relative links and named files must exist, and each type in the tables
//! of ARCHITECTURE.md and GLOSSARY.md must occur in the file named in its row.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Pages about earlier versions, which may name files that no longer exist.
const HISTORICAL_PAGES: [&str; 2] = ["CHANGELOG.md", "docs/history"];
/// Folders at the repository's root. Text in backticks that begins with one of them is the path of a file or folder.
const ROOT_FOLDERS: [&str; 8] = [
    "benches/",
    "crates/",
    "deploy/",
    "docs/",
    "examples/",
    "src/",
    "tests/",
    "tools/",
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn text(page: &Path) -> String {
    fs::read_to_string(page).unwrap_or_else(|error| panic!("{}: {error}", page.display()))
}

/// The paths of README.md, CHANGELOG.md and all pages below docs/.
fn pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md"), root().join("CHANGELOG.md")];
    let mut folders = vec![root().join("docs")];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder).expect("the folder is read") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "md") {
                pages.push(path);
            }
        }
    }
    pages
}

/// The targets of a page's links, which are the texts in `](...)` outside code blocks.
fn links(text: &str) -> Vec<&str> {
    let outside = text.split("\n```").step_by(2);
    outside
        .flat_map(|part| part.split("](").skip(1))
        .filter_map(|rest| rest.split([')', ' ']).next())
        .collect()
}

/// The texts in backticks on a line.
fn quoted(line: &str) -> impl Iterator<Item = &str> {
    line.split('`').skip(1).step_by(2)
}

/// The texts of the cells `type` and `file` of each row, from all tables of a page that have both columns. The row of
/// dashes below a table's header counts as a row.
fn type_and_file_cells(text: &str) -> Vec<(&str, &str)> {
    let (mut rows, mut columns) = (Vec::new(), None);
    for line in text.lines() {
        if !line.starts_with('|') {
            columns = None;
            continue;
        }
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        let find = |name: &str| cells.iter().position(|cell| *cell == name);
        match columns {
            None => columns = Some(find("type").zip(find("file"))),
            Some(Some((type_column, file_column))) => {
                let cell = |column: usize| cells.get(column).copied().unwrap_or_default();
                rows.push((cell(type_column), cell(file_column)));
            }
            Some(None) => {}
        }
    }
    rows
}

/// True if a text contains a name as a whole word.
fn contains_word(text: &str, name: &str) -> bool {
    let is_word_byte =
        |byte: Option<&u8>| byte.is_some_and(|byte| byte.is_ascii_alphanumeric() || *byte == b'_');
    text.match_indices(name).any(|(at, _)| {
        let bytes = text.as_bytes();
        let before = at.checked_sub(1).and_then(|before| bytes.get(before));
        !is_word_byte(before) && !is_word_byte(bytes.get(at + name.len()))
    })
}

#[test]
fn relative_links_of_all_pages_lead_to_files() {
    let (mut broken, mut count) = (Vec::new(), 0);
    for page in pages() {
        let text = text(&page);
        for link in links(&text) {
            let target = link.split('#').next().unwrap_or_default();
            if target.is_empty() || target.contains("://") {
                continue;
            }
            count += 1;
            if !page.with_file_name("").join(target).exists() {
                broken.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(
        count > 50,
        "only {count} links were found: does the check still find links?"
    );
}

#[test]
fn files_named_by_pages_exist() {
    let (mut broken, mut count) = (Vec::new(), 0);
    for page in pages() {
        let is_below = |path: &str| page.starts_with(root().join(path));
        if HISTORICAL_PAGES.iter().any(|path| is_below(path)) {
            continue;
        }
        let text = text(&page);
        for name in text.lines().flat_map(quoted) {
            let is_path = ROOT_FOLDERS.iter().any(|folder| name.starts_with(folder));
            if !is_path || name.contains(['*', ' ', '<']) {
                continue;
            }
            count += 1;
            if !root().join(name).exists() {
                broken.push(format!("{}: {name}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(
        count > 50,
        "only {count} files were found: does the check still find paths?"
    );
}

#[test]
fn types_of_the_tables_occur_in_their_files() {
    let (mut broken, mut count) = (Vec::new(), 0);
    for page in ["docs/ARCHITECTURE.md", "docs/GLOSSARY.md"] {
        let text = text(&root().join(page));
        for (types, files) in type_and_file_cells(&text) {
            let sources: Vec<String> = quoted(files)
                .filter_map(|file| fs::read_to_string(root().join(file)).ok())
                .collect();
            for name in quoted(types).flat_map(|path| path.split("::")) {
                count += 1;
                if !sources.iter().any(|source| contains_word(source, name)) {
                    broken.push(format!("{page}: {name} is not in {files}"));
                }
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(
        count > 80,
        "only {count} types were found: does the check still find the tables?"
    );
}

/// Appends all Rust sources below a folder to a text.
fn append_sources(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder).expect("the folder is read") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            append_sources(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(path).expect("text"));
        }
    }
}

#[test]
fn variants_and_methods_named_by_the_architecture_page_occur_in_the_sources() {
    let mut all = String::new();
    append_sources(&root().join("crates"), &mut all);
    let page = text(&root().join("docs/ARCHITECTURE.md"));
    let named = page.lines().flat_map(quoted);
    let paths: Vec<(&str, &str)> = named.filter_map(|name| name.split_once("::")).collect();
    let missing: Vec<&(&str, &str)> = paths
        .iter()
        .filter(|(type_name, name)| !contains_word(&all, type_name) || !contains_word(&all, name))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
    assert!(
        paths.len() > 4,
        "only {paths:?}: does the check still find names?"
    );
}

#[test]
fn the_architecture_page_names_every_package() {
    let page = text(&root().join("docs/ARCHITECTURE.md"));
    let named: BTreeSet<&str> = page.lines().flat_map(quoted).collect();
    let packages = fs::read_dir(root().join("crates")).expect("the folder is read");
    let missing: Vec<String> = packages
        .map(|entry| {
            entry
                .expect("an entry")
                .file_name()
                .to_string_lossy()
                .into_owned()
        })
        .filter(|package| !named.contains(format!("crates/{package}").as_str()))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn links_table_cells_and_words_are_found() {
    assert_eq!(
        links("[a](b.md) and [c](d.md#e)\n```\n[x](y)\n```\n[f](g)"),
        ["b.md", "d.md#e", "g"]
    );
    assert_eq!(
        type_and_file_cells(
            "| what | type | file |\n| --- | --- | --- |\n| a | `B` | `c` |\n\n| x | y |\n| 1 | 2 |"
        ),
        [("---", "---"), ("`B`", "`c`")]
    );
    assert!(
        contains_word("struct Sender;", "Sender") && !contains_word("struct SenderSet;", "Sender")
    );
}

#[test]
fn pages_named_by_sources_exist() {
    let mut all = String::new();
    for folder in ["src", "crates", "tests", "benches"] {
        append_sources(&root().join(folder), &mut all);
    }
    // the path of a page begins with `docs/`, ends with `.md`, and has only characters of paths in between
    let mut pages = BTreeSet::new();
    for part in all.split("docs/").skip(1) {
        let is_path_character =
            |letter: char| letter.is_ascii_alphanumeric() || "/._-".contains(letter);
        let path = part.split(|letter| !is_path_character(letter)).next();
        if let Some((page, _)) = path.and_then(|path| path.split_once(".md")) {
            pages.insert(format!("docs/{page}.md"));
        }
    }
    let missing: Vec<&String> = pages
        .iter()
        .filter(|page| !root().join(page).exists())
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
    assert!(
        pages.len() > 5,
        "only {pages:?}: does the check still find pages?"
    );
}
