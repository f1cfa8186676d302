//! Run time and memory of the configuration commands, by size of the configuration tree.

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Routes per file.
const ROUTES_PER_FILE: usize = 20;

/// A temporary configuration folder, removed on drop.
struct ConfigTree(PathBuf);

impl Drop for ConfigTree {
    fn drop(&mut self) {
        // A leftover is in the system's temporary folder.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Writes a configuration with `routes` routes; with `changed`, one route in a thousand uses another pool.
fn write_tree(routes: usize, changed: bool) -> io::Result<ConfigTree> {
    let folder =
        std::env::temp_dir().join(format!("ivygate-bench-{}-{}", std::process::id(), fastrand::u32(..)));
    let tree = ConfigTree(folder);
    fs::create_dir_all(tree.0.join("routes"))?;
    let mut main = String::from(
        "limits { descriptors 65536; }\nlisten 127.0.0.1:8080 { connections 8000; }\n\
         class read { effect safe; aim 250ms; deadline 2s; }\nclass order { effect unsafe; deadline 5s; }\n\
         include routes/*.conf;\n",
    );
    for pool in 0..20 {
        let _ = writeln!(
            main,
            "pool p{pool} {{ server a 127.0.0.1:{}; server b 127.0.0.1:{}; }}",
            9000 + pool,
            9500 + pool
        );
    }
    fs::write(tree.0.join("main.conf"), main)?;
    let mut number = 0;
    for file in 0..routes.div_ceil(ROUTES_PER_FILE) {
        let mut text = String::new();
        while number < routes && number < (file + 1) * ROUTES_PER_FILE {
            let host = number % 97;
            let (path, methods, class) = match number % 4 {
                0 => (format!("exact /a{}/b{number}", number / 97), "GET HEAD", "read"),
                1 => (format!("prefix /c{}/d{number}", number / 97), "GET HEAD OPTIONS", "read"),
                2 => (format!("exact /e{number}"), "POST", "order"),
                _ => (format!("pattern /f{number}/*/g"), "POST PUT", "order"),
            };
            let pool = if changed && number % 1000 == 7 { 19 } else { number % 19 };
            let _ = writeln!(
                text,
                "route r{number} {{ host h{host}.example.org; path {path}; methods {methods}; class {class}; pool p{pool}; }}"
            );
            number += 1;
        }
        fs::write(tree.0.join(format!("routes/{file:05}.conf")), text)?;
    }
    Ok(tree)
}

/// Runs `ivygate` and returns its run time in seconds, its peak memory in MiB and its exit code.
fn run(arguments: &[&Path]) -> io::Result<(f64, f64, Option<i32>)> {
    let program = std::env::current_exe()?.with_file_name("ivygate");
    let start = Instant::now();
    let mut child =
        Command::new(program).args(arguments).stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
    let mut peak: f64 = 0.0;
    loop {
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or("");
        peak = peak.max(line.trim().trim_end_matches(" kB").parse::<f64>().unwrap_or(0.0) / 1024.0);
        if let Some(exit) = child.try_wait()? {
            return Ok((start.elapsed().as_secs_f64(), peak, exit.code()));
        }
        std::thread::sleep(Duration::from_micros(500));
    }
}

/// Runs the benchmark and prints a table.
pub fn measure() -> io::Result<()> {
    println!(
        "{:>8} {:>6}  {:>9} {:>9}  {:>9} {:>9}  {:>9}",
        "routes", "files", "check s", "MiB", "diff s", "MiB", "fmt s"
    );
    for routes in [100, 1000, 10_000, 50_000] {
        let (old, new) = (write_tree(routes, false)?, write_tree(routes, true)?);
        let (old, new) = (old.0.join("main.conf"), new.0.join("main.conf"));
        let best = |arguments: &[&Path], expected: i32| -> io::Result<(f64, f64)> {
            let mut best = (f64::INFINITY, 0.0);
            for _ in 0..5 {
                let (seconds, peak, code) = run(arguments)?;
                if code != Some(expected) {
                    return Err(io::Error::other(format!("{arguments:?} exited with code {code:?}")));
                }
                best = (best.0.min(seconds), f64::max(best.1, peak));
            }
            Ok(best)
        };
        let check = best(&[Path::new("check"), &old], 0)?;
        let diff = best(&[Path::new("diff"), &old, &new], 1)?;
        let files: Vec<PathBuf> = fs::read_dir(old.with_file_name("routes"))?
            .map(|e| e.map(|e| e.path()))
            .collect::<Result<_, _>>()?;
        let mut arguments = vec![Path::new("fmt"), Path::new("--check")];
        arguments.extend(files.iter().map(PathBuf::as_path));
        let fmt = best(&arguments, 1).or_else(|_| best(&arguments, 0))?;
        println!(
            "{routes:>8} {:>6}  {:>9.3} {:>9.1}  {:>9.3} {:>9.1}  {:>9.3}",
            files.len() + 1,
            check.0,
            check.1,
            diff.0,
            diff.1,
            fmt.0
        );
    }
    Ok(())
}
