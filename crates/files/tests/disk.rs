//! Loading configurations from disk: includes, links, special files, large and changing files.

use ivygate_config::Severity;
use ivygate_files::{load, read};
use std::fs;
use std::os::unix::fs::symlink;
use std::path::PathBuf;
use std::process::Command;

/// A temporary directory, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(files: &[(&str, &str)]) -> Self {
        let path =
            std::env::temp_dir().join(format!("ivygate-files-{}-{}", std::process::id(), fastrand::u64(..)));
        fs::create_dir(&path).unwrap();
        let dir = TempDir(path);
        for (name, text) in files {
            let file = dir.0.join(name);
            fs::create_dir_all(file.parent().unwrap()).unwrap();
            fs::write(file, text).unwrap();
        }
        dir
    }

    /// Loads `main.conf` and returns its findings as `CODE FILE:LINE MESSAGE`.
    fn findings(&self) -> Vec<String> {
        let loaded = load(&self.0.join("main.conf")).unwrap();
        loaded.report(Severity::Note, false);
        let format_finding = |f: &ivygate_config::Diagnostic| {
            let place = loaded.sources.position(f.at.0);
            let file = place.file.rsplit('/').next().unwrap();
            format!("{} {file}:{} {}", f.code, place.line, f.at.1)
        };
        loaded.findings.iter().map(format_finding).collect()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Listener, class and pool that the routes of the tests refer to.
const BASE: &str = "listen 127.0.0.1:8080 { }\nclass read { effect safe; deadline 2s; }\npool app { server a 127.0.0.1:9000; }\n";

#[test]
fn glob_include_loads_files_in_name_order_without_hidden_files() {
    let main = format!("{BASE}include routes/*.conf;\n");
    let route = |name: &str| format!("route {name} {{ path exact /{name}; class read; pool app; }}\n");
    let dir = TempDir::new(&[
        ("main.conf", &main),
        ("routes/b.conf", &route("b")),
        ("routes/a.conf", &route("a")),
        ("routes/.hidden.conf", "odd;"),
        ("routes/a.conf~", "odd;"),
        ("routes/sub.conf/x", "odd;"),
    ]);
    let loaded = load(&dir.0.join("main.conf")).unwrap();
    let names: Vec<_> = loaded.model.unwrap().routes.into_iter().map(|r| r.name).collect();
    assert_eq!(names, ["a", "b"]);
}

#[test]
fn wildcards_in_the_directory_name_are_literal() {
    let dir = TempDir::new(&[
        ("[x]*/main.conf", &format!("{BASE}include r*.conf;")),
        ("[x]*/r.conf", "route a { class read; pool app; }"),
    ]);
    assert!(load(&dir.0.join("[x]*/main.conf")).unwrap().model.is_some());
}

#[test]
fn include_cycle_through_symlinks_and_path_spellings_is_detected() {
    let dir = TempDir::new(&[
        ("main.conf", "include ./a.conf;"),
        ("a.conf", "include sub/../link.conf;"),
        ("sub/x", ""),
    ]);
    symlink(dir.0.join("a.conf"), dir.0.join("link.conf")).unwrap();
    assert!(dir.findings()[0].starts_with("IV0062 "), "{:?}", dir.findings());
}

#[test]
fn include_cycle_is_detected_for_every_spelling_of_the_first_file() {
    let dir =
        TempDir::new(&[("main.conf", "include sub/loop.conf;"), ("sub/loop.conf", "include ../main.conf;")]);
    for name in ["main.conf", "./main.conf", "sub/../main.conf"] {
        let loaded = load(&dir.0.join(name)).unwrap();
        let cycles = loaded.findings.iter().filter(|f| f.code == "IV0062").count();
        assert_eq!((cycles, loaded.sources.names().count()), (1, 2), "{name}");
    }
}

#[test]
fn special_files_are_reported_without_blocking() {
    let dir = TempDir::new(&[
        ("main.conf", "include pipe;\ninclude folder;\ninclude gone;\ninclude dangling;\n"),
        ("folder/x", ""),
    ]);
    assert!(Command::new("mkfifo").arg(dir.0.join("pipe")).status().unwrap().success());
    symlink(dir.0.join("nowhere"), dir.0.join("dangling")).unwrap();
    let findings = dir.findings();
    assert_eq!(findings.len(), 4, "{findings:?}");
    assert!(findings[0].starts_with("IV0064 main.conf:1 not a regular file"), "{findings:?}");
    assert!(findings[1].starts_with("IV0064 main.conf:2 not a regular file"), "{findings:?}");
    assert!(findings[2].contains("No such file"), "{findings:?}");
}

#[test]
fn unreadable_first_file_is_an_error_that_names_it() {
    let dir = TempDir::new(&[("sub/x", "")]);
    for name in ["gone.conf", "sub"] {
        let error = read(&dir.0.join(name)).unwrap_err().to_string();
        assert!(error.contains(name), "{error}");
    }
}

#[test]
fn file_over_the_size_limit_is_rejected() {
    let dir = TempDir::new(&[("main.conf", "include large;")]);
    let large = fs::File::create(dir.0.join("large")).unwrap();
    large.set_len(ivygate_files::MAX_FILE_BYTES + 1).unwrap();
    assert!(dir.findings()[0].contains("more than 16 MiB"), "{:?}", dir.findings());
}

#[test]
fn byte_order_mark_and_crlf_line_ends_are_ignored() {
    let text = format!("\u{FEFF}{BASE}route a {{ class read; pool app; }}\n");
    let dir = TempDir::new(&[("main.conf", &text), ("dos.conf", &text.replace('\n', "\r\n"))]);
    let model = |name: &str| load(&dir.0.join(name)).unwrap().model.unwrap();
    assert!(model("main.conf") == model("dos.conf"));
}

#[test]
fn file_whose_size_changes_during_the_read_is_rejected() {
    // The metadata of files in /proc gives a length of 0, but they have contents.
    let error = read(std::path::Path::new("/proc/self/maps")).unwrap_err().to_string();
    assert!(error.contains("keeps changing while it is read"), "{error}");
}
