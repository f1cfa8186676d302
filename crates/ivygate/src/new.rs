//! `ivygate new`: a configuration for an application, from flags, a description, an OpenAPI document or answers.

use crate::format::replace;
use crate::MISUSED;
use clap::Args;
use ivygate_config::Severity;
use ivygate_tool::{from_openapi, generate, AppDescription, Route, RouteEffect};
use std::collections::BTreeSet;
use std::io::{self, BufRead, IsTerminal, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The first port that is taken for a listener.
const FIRST_PORT: u16 = 8080;

/// What is told of the application.
#[derive(Args)]
pub struct Options {
    /// The application's name; its configuration is NAME.conf
    #[arg(long, value_name = "NAME")]
    app: Option<String>,
    /// Where the sidecar listens; without it the first port from 8080 on that no configuration beside it uses
    #[arg(long, value_name = "ADDRESS")]
    listen: Option<SocketAddr>,
    /// Where the application listens; may be given again
    #[arg(long = "server", value_name = "ADDRESS")]
    servers: Vec<SocketAddr>,
    /// Requests and their effect, such as `/tiles safe` or `POST /orders unsafe`; may be given again
    #[arg(long = "route", value_name = "ROUTE")]
    routes: Vec<Route>,
    /// A plan and its quota for each customer, such as `standard=20/s`; may be given again
    #[arg(long = "plan", value_name = "NAME=RATE")]
    plans: Vec<String>,
    /// The header that names the customer
    #[arg(long, value_name = "HEADER")]
    customer_header: Option<String>,
    /// Descriptions in a file, `app NAME { listen ...; server ...; route ...; }` each
    #[arg(long, value_name = "FILE", conflicts_with_all = ["app", "openapi"])]
    from: Option<PathBuf>,
    /// Routes from an OpenAPI 3 document, JSON or YAML
    #[arg(long, value_name = "FILE")]
    openapi: Option<PathBuf>,
    /// The effect of an operation of that document, such as `POST /search safe`; may be given again
    #[arg(long = "effect", value_name = "OPERATION", requires = "openapi")]
    effects: Vec<String>,
    /// Where the configurations are written
    #[arg(long, default_value = ".")]
    dir: PathBuf,
    /// Write to standard output
    #[arg(long)]
    print: bool,
    /// Replace a file that is there
    #[arg(long)]
    force: bool,
}

/// Why nothing, or not all, was written: in words, and the code to end with.
struct Fault(String, u8);

fn misuse(text: impl Into<String>) -> Fault {
    Fault(text.into(), MISUSED)
}

/// Writes what is asked for.
pub fn run(options: &Options) -> ExitCode {
    match write(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Fault(text, code)) => {
            eprintln!("{}", text.trim_end());
            ExitCode::from(code)
        }
    }
}

fn write(options: &Options) -> Result<(), Fault> {
    let apps = described(options)?;
    let mut taken = ports_beside(&options.dir);
    for app in &apps {
        if app.name.is_empty()
            || !app.name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
            || app.name.starts_with('.')
        {
            return Err(misuse(format!(
                "ivygate: `{}` cannot be a file's name; write letters, digits and `-`",
                app.name
            )));
        }
        if app.servers.is_empty() {
            return Err(misuse(format!(
                "ivygate: it is not told where {} listens; write `--server 127.0.0.1:9000`",
                app.name
            )));
        }
        if app.routes.is_empty() {
            return Err(misuse(format!("ivygate: {} has no route; write `--route '/ safe'`", app.name)));
        }
        let listen = match app.listen {
            Some(listen) => listen,
            None => free(&taken).ok_or_else(|| Fault("ivygate: no port is free".to_owned(), 1))?,
        };
        taken.insert(listen.port());
        let text = generate(app, listen);
        let name = format!("{}.conf", app.name);
        let file = if options.dir == Path::new(".") { PathBuf::from(name) } else { options.dir.join(name) };
        let name = file.display().to_string();
        let loaded = ivygate_config::load(&name, &text);
        if loaded.model.is_none() {
            let report = crate::worded(&loaded, Severity::Error);
            return Err(misuse(format!(
                "{report}ivygate: what is told cannot be used; nothing is written for {}",
                app.name
            )));
        }
        eprint!("{}", crate::worded(&loaded, Severity::Warning));
        if options.print {
            print!("{text}");
            continue;
        }
        if file.exists() && !options.force {
            return Err(misuse(format!("ivygate: {name} is there already; `--force` replaces it")));
        }
        replace(&file, &text).map_err(|error| Fault(format!("ivygate: cannot write {name}: {error}"), 1))?;
        println!("{name}: listens on {listen}; try `ivygate serve {name}`");
    }
    Ok(())
}

/// The applications that are told of.
fn described(options: &Options) -> Result<Vec<AppDescription>, Fault> {
    let read = |path: &Path| {
        let bytes = ivygate_files::read(path).map_err(|error| misuse(format!("ivygate: {error}")))?;
        String::from_utf8(bytes).map_err(|_| misuse(format!("ivygate: {} is not UTF-8", path.display())))
    };
    if let Some(path) = &options.from {
        let text = read(path)?;
        let apps = AppDescription::read(&path.display().to_string(), &text)
            .map_err(|(sources, errors)| misuse(sources.render(&errors, io::stderr().is_terminal())))?;
        let names: BTreeSet<&str> = apps.iter().map(|app| app.name.as_str()).collect();
        return match names.len() == apps.len() && !apps.is_empty() {
            true => Ok(apps),
            false => Err(misuse(format!("ivygate: {} needs apps, each of another name", path.display()))),
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
            .ok_or_else(|| misuse(format!("ivygate: `{plan}` is no plan; write `standard=20/s`")))?;
        app.plans.push((pair.0.to_owned(), pair.1.to_owned()));
    }
    if let Some(path) = &options.openapi {
        let told = options.effects.iter().map(|text| effect(text)).collect::<Result<Vec<_>, _>>()?;
        let text = read(path)?;
        let document = from_openapi(&text, &told)
            .map_err(|error| misuse(format!("ivygate: {}: {error}", path.display())))?;
        app.routes.extend(document.routes);
        app.remarks = document.remarks;
    }
    let nothing_told = app.name.is_empty() && app.servers.is_empty() && app.routes.is_empty();
    if nothing_told && io::stdin().is_terminal() {
        app = asked(&mut io::stdin().lock(), &mut io::stdout())
            .map_err(|error| Fault(format!("ivygate: {error}"), 1))?;
    }
    if app.name.is_empty() {
        return Err(misuse("ivygate: the application has no name; write `--app NAME`, or `--from FILE`"));
    }
    Ok(vec![app])
}

/// An operation and its effect.
fn effect(text: &str) -> Result<(String, RouteEffect), Fault> {
    let words: Vec<&str> = text.split_whitespace().collect();
    let [method, path, effect] = words[..] else {
        return Err(misuse(format!("ivygate: `{text}` is no effect; write one such as `POST /search safe`")));
    };
    let effect = effect.parse().map_err(|error| misuse(format!("ivygate: {error}")))?;
    Ok((format!("{} {path}", method.to_uppercase()), effect))
}

/// Asks for what is needed, line by line; what cannot be read is asked for again.
fn asked(input: &mut impl BufRead, output: &mut impl Write) -> io::Result<AppDescription> {
    let mut ask = |question: &str| -> io::Result<Option<String>> {
        write!(output, "{question} ")?;
        output.flush()?;
        let mut line = String::new();
        let read = input.read_line(&mut line)?;
        Ok((read > 0).then(|| line.trim().to_owned()))
    };
    let ended =
        || io::Error::new(io::ErrorKind::UnexpectedEof, "the answers ended early; nothing is written");
    let mut app = AppDescription::default();
    while app.name.is_empty() {
        app.name = ask("Name of the application:")?.ok_or_else(ended)?;
    }
    loop {
        let line = ask("Where it listens, such as 127.0.0.1:9000 (empty for no more):")?.ok_or_else(ended)?;
        match line.parse() {
            Ok(address) => app.servers.push(address),
            Err(_) if line.is_empty() && !app.servers.is_empty() => break,
            Err(_) => {}
        }
    }
    loop {
        let line = ask(
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
    let quota = ask("Quota of each customer, such as 20/s (empty for none):")?.ok_or_else(ended)?;
    if !quota.is_empty() {
        app.plans.push(("standard".to_owned(), quota));
        let header =
            ask("Header that names the customer (empty for the client's address):")?.ok_or_else(ended)?;
        app.customer_header = Some(header).filter(|header| !header.is_empty());
    }
    Ok(app)
}

/// The ports of the listeners in the configurations of a folder.
fn ports_beside(dir: &Path) -> BTreeSet<u16> {
    let mut ports = BTreeSet::new();
    // A folder that can't be read shows when the file is written.
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

/// The first port that is not taken and can be listened on now.
fn free(taken: &BTreeSet<u16>) -> Option<SocketAddr> {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let ports = (FIRST_PORT..=u16::MAX).filter(|port| !taken.contains(port));
    ports.map(address).find(|address| TcpListener::bind(address).is_ok())
}

#[cfg(test)]
mod tests;
