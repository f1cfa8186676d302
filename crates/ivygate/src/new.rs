//! `ivygate new`: generates a configuration for an application from options, a description file, an OpenAPI document or
//! interactive input.

use crate::format::replace_file;
use crate::EXIT_USAGE;
use clap::Args;
use ivygate_config::Severity;
use ivygate_tool::{from_openapi, generate, AppDescription, Route, RouteEffect};
use std::collections::BTreeSet;
use std::io::{self, BufRead, IsTerminal, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// First port considered for a listener.
const FIRST_PORT: u16 = 8080;

/// Options that describe the application.
#[derive(Args)]
pub struct Options {
    /// The application's name; its configuration is written to NAME.conf
    #[arg(long, value_name = "NAME")]
    app: Option<String>,
    /// The sidecar's listening address; by default the first port from 8080 on not used by other configurations in the
    /// folder
    #[arg(long, value_name = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// The application's listening address; may be repeated
    #[arg(long = "server", value_name = "ADDRESS")]
    servers: Vec<SocketAddr>,
    /// Requests and their effect, such as `/tiles safe` or `POST /orders unsafe`; may be repeated
    #[arg(long = "route", value_name = "ROUTE")]
    routes: Vec<Route>,
    /// A plan and its quota per customer, such as `standard=20/s`; may be repeated
    #[arg(long = "plan", value_name = "NAME=RATE")]
    plans: Vec<String>,
    /// The header that names the customer
    #[arg(long, value_name = "HEADER")]
    customer_header: Option<String>,
    /// A file with descriptions of the form `app NAME { listen ...; server ...; route ...; }`
    #[arg(long, value_name = "FILE", conflicts_with_all = ["app", "openapi"])]
    from: Option<PathBuf>,
    /// An OpenAPI 3 document with the routes, JSON or YAML
    #[arg(long, value_name = "FILE")]
    openapi: Option<PathBuf>,
    /// The effect of an operation of that document, such as `POST /search safe`; may be repeated
    #[arg(long = "effect", value_name = "OPERATION", requires = "openapi")]
    effects: Vec<String>,
    /// The folder to write the configurations to
    #[arg(long, default_value = ".")]
    dir: PathBuf,
    /// Write to standard output
    #[arg(long)]
    print: bool,
    /// Overwrite an existing file
    #[arg(long)]
    force: bool,
}

/// Error message and exit code.
struct Failure(String, u8);

fn usage_error(text: impl Into<String>) -> Failure {
    Failure(text.into(), EXIT_USAGE)
}

/// Writes the requested configurations.
pub fn run(options: &Options) -> ExitCode {
    match write(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure(text, code)) => {
            eprintln!("{}", text.trim_end());
            ExitCode::from(code)
        }
    }
}

fn write(options: &Options) -> Result<(), Failure> {
    let apps = descriptions(options)?;
    let mut used_ports = ports_in_folder(&options.dir);
    for app in &apps {
        if app.name.is_empty()
            || !app.name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
            || app.name.starts_with('.')
        {
            return Err(usage_error(format!(
                "ivygate: `{}` is not a valid name; use letters, digits and `-`",
                app.name
            )));
        }
        if app.servers.is_empty() {
            return Err(usage_error(format!(
                "ivygate: {} has no server address; add `--server 127.0.0.1:9000`",
                app.name
            )));
        }
        if app.routes.is_empty() {
            return Err(usage_error(format!("ivygate: {} has no route; add `--route '/ safe'`", app.name)));
        }
        let listen = match app.listen {
            Some(listen) => listen,
            None => {
                free_address(&used_ports).ok_or_else(|| Failure("ivygate: no free port".to_owned(), 1))?
            }
        };
        used_ports.insert(listen.port());
        let text = generate(app, listen);
        let name = format!("{}.conf", app.name);
        let file = if options.dir == Path::new(".") { PathBuf::from(name) } else { options.dir.join(name) };
        let name = file.display().to_string();
        let loaded = ivygate_config::load(&name, &text);
        if loaded.model.is_none() {
            let report = crate::render_report(&loaded, Severity::Error);
            return Err(usage_error(format!(
                "{report}ivygate: the description is invalid; nothing is written for {}",
                app.name
            )));
        }
        eprint!("{}", crate::render_report(&loaded, Severity::Warning));
        if options.print {
            print!("{text}");
            continue;
        }
        if file.exists() && !options.force {
            return Err(usage_error(format!(
                "ivygate: {name} already exists; use `--force` to overwrite it"
            )));
        }
        replace_file(&file, &text)
            .map_err(|error| Failure(format!("ivygate: cannot write {name}: {error}"), 1))?;
        println!("{name}: listens on {listen}; try `ivygate serve {name}`");
    }
    Ok(())
}

/// Returns the descriptions of the applications.
fn descriptions(options: &Options) -> Result<Vec<AppDescription>, Failure> {
    let read = |path: &Path| {
        let bytes = ivygate_files::read(path).map_err(|error| usage_error(format!("ivygate: {error}")))?;
        String::from_utf8(bytes).map_err(|_| usage_error(format!("ivygate: {} is not UTF-8", path.display())))
    };
    if let Some(path) = &options.from {
        let text = read(path)?;
        let apps = AppDescription::read(&path.display().to_string(), &text)
            .map_err(|(sources, errors)| usage_error(sources.render(&errors, io::stderr().is_terminal())))?;
        let names: BTreeSet<&str> = apps.iter().map(|app| app.name.as_str()).collect();
        return match names.len() == apps.len() && !apps.is_empty() {
            true => Ok(apps),
            false => Err(usage_error(format!(
                "ivygate: {} must contain apps with different names",
                path.display()
            ))),
        };
    }
    let mut app = AppDescription {
        name: options.app.clone().unwrap_or_default(),
        listen: options.listen,
        servers: options.servers.clone(),
        routes: options.routes.clone(),
        plans: Vec::new(),
        customer_header: options.customer_header.clone(),
        remarks: Vec::new(),
    };
    for plan in &options.plans {
        let pair = plan
            .split_once('=')
            .ok_or_else(|| usage_error(format!("ivygate: `{plan}` is not a plan; write `standard=20/s`")))?;
        app.plans.push((pair.0.to_owned(), pair.1.to_owned()));
    }
    if let Some(path) = &options.openapi {
        let effects = options.effects.iter().map(|text| parse_effect(text)).collect::<Result<Vec<_>, _>>()?;
        let text = read(path)?;
        let document = from_openapi(&text, &effects)
            .map_err(|error| usage_error(format!("ivygate: {}: {error}", path.display())))?;
        app.routes.extend(document.routes);
        app.remarks = document.remarks;
    }
    let no_options = app.name.is_empty() && app.servers.is_empty() && app.routes.is_empty();
    if no_options && io::stdin().is_terminal() {
        app = prompt(&mut io::stdin().lock(), &mut io::stdout())
            .map_err(|error| Failure(format!("ivygate: {error}"), 1))?;
    }
    if app.name.is_empty() {
        return Err(usage_error("ivygate: the application has no name; add `--app NAME` or `--from FILE`"));
    }
    Ok(vec![app])
}

/// Parses an operation and its effect.
fn parse_effect(text: &str) -> Result<(String, RouteEffect), Failure> {
    let words: Vec<&str> = text.split_whitespace().collect();
    let [method, path, effect] = words[..] else {
        return Err(usage_error(format!(
            "ivygate: `{text}` is not an effect; write one such as `POST /search safe`"
        )));
    };
    let effect = effect.parse().map_err(|error| usage_error(format!("ivygate: {error}")))?;
    Ok((format!("{} {path}", method.to_uppercase()), effect))
}

/// Prompts for the description line by line, and repeats a prompt after invalid input.
fn prompt(input: &mut impl BufRead, output: &mut impl Write) -> io::Result<AppDescription> {
    let mut prompt_line = |question: &str| -> io::Result<Option<String>> {
        write!(output, "{question} ")?;
        output.flush()?;
        let mut line = String::new();
        let read = input.read_line(&mut line)?;
        Ok((read > 0).then(|| line.trim().to_owned()))
    };
    let ended = || io::Error::new(io::ErrorKind::UnexpectedEof, "the input ended early; nothing is written");
    let mut app = AppDescription::default();
    while app.name.is_empty() {
        app.name = prompt_line("Name of the application:")?.ok_or_else(ended)?;
    }
    loop {
        let line = prompt_line("Where it listens, such as 127.0.0.1:9000 (empty for no more):")?
            .ok_or_else(ended)?;
        match line.parse() {
            Ok(address) => app.servers.push(address),
            Err(_) if line.is_empty() && !app.servers.is_empty() => break,
            Err(_) => {}
        }
    }
    loop {
        let line = prompt_line(
            "A route and its effect, such as `/tiles safe` or `POST /orders unsafe` (empty for no more):",
        )?;
        let line = line.ok_or_else(ended)?;
        match line.parse::<Route>() {
            Ok(route) => app.routes.push(route),
            Err(_) if line.is_empty() && !app.routes.is_empty() => break,
            Err(error) if !line.is_empty() => eprintln!("{error}"),
            Err(_) => {}
        }
    }
    let quota = prompt_line("Quota of each customer, such as 20/s (empty for none):")?.ok_or_else(ended)?;
    if !quota.is_empty() {
        app.plans.push(("standard".to_owned(), quota));
        let header = prompt_line("Header that names the customer (empty for the client's address):")?
            .ok_or_else(ended)?;
        app.customer_header = Some(header).filter(|header| !header.is_empty());
    }
    Ok(app)
}

/// Returns the ports of the listeners in the configurations of a folder.
fn ports_in_folder(dir: &Path) -> BTreeSet<u16> {
    let mut ports = BTreeSet::new();
    // An unreadable folder is reported when the file is written.
    for entry in std::fs::read_dir(dir).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.extension().is_none_or(|extension| extension != "conf") {
            continue;
        }
        let Ok(bytes) = ivygate_files::read(&path) else { continue };
        let (root, _) = ivygate_config::parse(&String::from_utf8_lossy(&bytes), 0);
        for statement in root.statements.iter().filter(|s| s.words[0].text == "listen") {
            let address = statement.words.get(1).and_then(|word| word.text.parse::<SocketAddr>().ok());
            ports.extend(address.map(|address| address.port()));
        }
    }
    ports
}

/// Returns the first address whose port is unused and can be bound.
fn free_address(used_ports: &BTreeSet<u16>) -> Option<SocketAddr> {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let ports = (FIRST_PORT..=u16::MAX).filter(|port| !used_ports.contains(port));
    ports.map(address).find(|address| TcpListener::bind(address).is_ok())
}

#[cfg(test)]
mod tests;
