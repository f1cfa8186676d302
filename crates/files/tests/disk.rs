//! What a disk may hold instead of a configuration.

use ivygate_config::Severity;
use ivygate_files::{load, read};
use std::fs;
use std::os::unix::fs::symlink;
use std::path::PathBuf;
use std::process::Command;

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(files: &[(&str, &str)]) -> Self {
        let path =
            std::env::temp_dir().join(format!("ivygate-files-{}-{}", std::process::id(), fastrand::u64(..)));
        fs::create_dir(&path).unwrap();
        let folder = Folder(path);
        for (name, text) in files {
            let file = folder.0.join(name);
            fs::create_dir_all(file.parent().unwrap()).unwrap();
            fs::write(file, text).unwrap();
        }
        folder
    }

    /// Codes with the names of files, and the lines, as `main.conf` shows them.
    fn found(&self) -> Vec<String> {
        let loaded = load(&self.0.join("main.conf")).unwrap();
        loaded.report(Severity::Note, false);
        let place = |f: &ivygate_config::Diagnostic| {
            let place = loaded.sources.place(f.at.0);
            let file = place.file.rsplit('/').next().unwrap();
            format!("{} {file}:{} {}", f.code, place.line, f.at.1)
        };
        loaded.findings.iter().map(place).collect()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

const REST: &str = "listen 127.0.0.1:8080 { }\nclass read { effect safe; deadline 2s; }\npool app { server a 127.0.0.1:9000; }\n";

#[test]
fn a_folder_is_included_by_pattern_in_the_order_of_names_without_hidden_files() {
    let main = format!("{REST}include routes/*.conf;\n");
    let route = |name: &str| format!("route {name} {{ path exact /{name}; class read; pool app; }}\n");
    let folder = Folder::new(&[
        ("main.conf", &main),
        ("routes/b.conf", &route("b")),
        ("routes/a.conf", &route("a")),
        ("routes/.hidden.conf", "odd;"),
        ("routes/a.conf~", "odd;"),
        ("routes/sub.conf/x", "odd;"),
    ]);
    let loaded = load(&folder.0.join("main.conf")).unwrap();
    let names: Vec<_> = loaded.model.unwrap().routes.into_iter().map(|r| r.name).collect();
    assert_eq!(names, ["a", "b"]);
}

#[test]
fn a_folder_whose_name_looks_like_a_pattern_is_taken_as_it_is() {
    let folder = Folder::new(&[
        ("[x]*/main.conf", &format!("{REST}include r*.conf;")),
        ("[x]*/r.conf", "route a { class read; pool app; }"),
    ]);
    assert!(load(&folder.0.join("[x]*/main.conf")).unwrap().model.is_some());
}

#[test]
fn a_circle_through_links_and_other_spellings_is_seen() {
    let folder = Folder::new(&[
        ("main.conf", "include ./a.conf;"),
        ("a.conf", "include sub/../link.conf;"),
        ("sub/x", ""),
    ]);
    symlink(folder.0.join("a.conf"), folder.0.join("link.conf")).unwrap();
    assert!(folder.found()[0].starts_with("IV0062 "), "{:?}", folder.found());
}

#[test]
fn a_circle_is_seen_however_the_first_file_is_named() {
    let folder =
        Folder::new(&[("main.conf", "include sub/loop.conf;"), ("sub/loop.conf", "include ../main.conf;")]);
    for name in ["main.conf", "./main.conf", "sub/../main.conf"] {
        let loaded = load(&folder.0.join(name)).unwrap();
        let circles = loaded.findings.iter().filter(|f| f.code == "IV0062").count();
        assert_eq!((circles, loaded.sources.names().count()), (1, 2), "{name}");
    }
}

#[test]
fn what_is_no_plain_file_is_told_of_and_never_waited_for() {
    let folder = Folder::new(&[
        ("main.conf", "include pipe;\ninclude folder;\ninclude gone;\ninclude dangling;\n"),
        ("folder/x", ""),
    ]);
    assert!(Command::new("mkfifo").arg(folder.0.join("pipe")).status().unwrap().success());
    symlink(folder.0.join("nowhere"), folder.0.join("dangling")).unwrap();
    let found = folder.found();
    assert_eq!(found.len(), 4, "{found:?}");
    assert!(found[0].starts_with("IV0064 main.conf:1 it is no plain file"), "{found:?}");
    assert!(found[1].starts_with("IV0064 main.conf:2 it is no plain file"), "{found:?}");
    assert!(found[2].contains("No such file"), "{found:?}");
}

#[test]
fn a_first_file_that_cannot_be_read_is_an_error_with_its_name() {
    let folder = Folder::new(&[("sub/x", "")]);
    for name in ["gone.conf", "sub"] {
        let error = read(&folder.0.join(name)).unwrap_err().to_string();
        assert!(error.contains(name), "{error}");
    }
}

#[test]
fn a_file_beyond_the_bound_is_not_read() {
    let folder = Folder::new(&[("main.conf", "include large;")]);
    let large = fs::File::create(folder.0.join("large")).unwrap();
    large.set_len(ivygate_files::MAX_FILE_BYTES + 1).unwrap();
    assert!(folder.found()[0].contains("more than 16 MiB"), "{:?}", folder.found());
}

#[test]
fn a_byte_order_mark_and_line_ends_of_other_systems_change_nothing() {
    let text = format!("\u{FEFF}{REST}route a {{ class read; pool app; }}\n");
    let folder = Folder::new(&[("main.conf", &text), ("dos.conf", &text.replace('\n', "\r\n"))]);
    let model = |name: &str| load(&folder.0.join(name)).unwrap().model.unwrap();
    assert!(model("main.conf") == model("dos.conf"));
}

#[test]
fn a_file_that_grows_while_it_is_read_is_read_whole_or_refused() {
    // The file reads as one length and ends as another: what /proc shows as empty has bytes.
    let error = read(std::path::Path::new("/proc/self/maps")).unwrap_err().to_string();
    assert!(error.contains("changes while it is read"), "{error}");
}
