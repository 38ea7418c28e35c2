//! Command lines of the programs: common options and exit codes.

use std::{collections, fmt, fs, path, process, str};

use slipturn_core::settings;

use crate::{local_settings, logging, process as own_process};

/// The program has done what it was asked.
pub const EXIT_SUCCESS: u8 = 0;
/// The program has failed.
pub const EXIT_FAILURE: u8 = 1;
/// The command line is wrong.
pub const EXIT_USAGE: u8 = 2;

/// A program's description for `--help` and `--version`.
#[derive(Debug, Clone, Copy)]
pub struct ProgramInfo {
    /// Its name.
    pub name: &'static str,
    /// Its version.
    pub version: &'static str,
    /// What follows the name in the usage line.
    pub arguments: &'static str,
    /// What it does, one line.
    pub about: &'static str,
}

/// A command line that made sense, or what to do instead of running.
pub enum ParsedArguments {
    /// Run with these options.
    Run(getopts::Matches),
    /// Leave with this code; what there was to say has been said.
    Exit(u8),
}

/// Reads the command line; handles `--help`, `--version` and wrong usage.
pub fn parse(info: ProgramInfo, mut options: getopts::Options) -> ParsedArguments {
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{}: {error}\nTry '{} --help'.", info.name, info.name);
            return ParsedArguments::Exit(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") {
        let brief = format!("{}\n\nUsage: {} {}", info.about, info.name, info.arguments);
        print!("{}", options.usage(&brief));
        return ParsedArguments::Exit(EXIT_SUCCESS);
    }
    if matches.opt_present("version") {
        println!("{} {}", info.name, info.version);
        return ParsedArguments::Exit(EXIT_SUCCESS);
    }
    ParsedArguments::Run(matches)
}

/// Options of the programs that serve.
pub fn server_options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("s", "settings", "local settings file (YAML)", "FILE");
    options.optflag("", "check", "check the settings file and exit");
    options
}

/// Options of a tool from its command line and then from a settings file: a YAML mapping
/// of the options' long names to their values.
#[derive(Debug)]
pub struct ToolOptions {
    matches: getopts::Matches,
    file: collections::BTreeMap<String, String>,
}

impl ToolOptions {
    /// Adds the option that names the settings file.
    pub fn declare(options: &mut getopts::Options) {
        options.optopt("s", "settings", "YAML file with values for options not given here", "FILE");
    }

    /// Reads the settings file, if one is named. `known` are the names that it may hold.
    pub fn load(matches: getopts::Matches, known: &[&str]) -> Result<Self, String> {
        let Some(name) = matches.opt_str("settings") else {
            return Ok(Self { matches, file: collections::BTreeMap::new() });
        };
        let text = fs::read_to_string(&name).map_err(|error| format!("{name}: {error}"))?;
        let file: collections::BTreeMap<String, ToolValue> =
            settings::parse_yaml(&text).map_err(|error| format!("{name}: {error}"))?;
        if let Some(unknown) = file.keys().find(|option| !known.contains(&option.as_str())) {
            let known = known.join(", ");
            return Err(format!("{name}: {unknown}: found an unknown option, expected {known}"));
        }
        let file = file.into_iter().map(|(option, value)| (option, value.into_text())).collect();
        Ok(Self { matches, file })
    }

    /// An option's value as text.
    pub fn text(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name).or_else(|| self.file.get(name).cloned())
    }

    /// An option's value, or its default.
    pub fn value<T: str::FromStr>(&self, name: &str, default: T) -> Result<T, String> {
        match self.text(name) {
            None => Ok(default),
            Some(text) => {
                text.parse().map_err(|_| format!("{name}: found '{text}', which is not valid"))
            }
        }
    }

    /// Whether a flag is set.
    pub fn flag(&self, name: &str) -> bool {
        self.matches.opt_present(name) || self.file.get(name).is_some_and(|text| text == "true")
    }

    /// The words that are no options.
    pub fn positional(&self) -> Vec<&str> {
        self.matches.free.iter().map(String::as_str).collect()
    }
}

/// A value in a tool's settings file.
#[derive(Debug, serde::Deserialize)]
#[serde(untagged)]
enum ToolValue {
    Flag(bool),
    Whole(u64),
    Number(f64),
    Text(String),
    List(Vec<String>),
}

impl ToolValue {
    fn into_text(self) -> String {
        match self {
            Self::Flag(flag) => flag.to_string(),
            Self::Whole(number) => number.to_string(),
            Self::Number(number) => number.to_string(),
            Self::Text(text) => text,
            Self::List(texts) => texts.join(","),
        }
    }
}

/// Says what went wrong and gives the exit code for it.
pub fn fail(info: ProgramInfo, error: &dyn fmt::Display) -> process::ExitCode {
    eprintln!("{}: {error}", info.name);
    process::ExitCode::from(EXIT_FAILURE)
}

/// Reads a server's command line and its local settings. `Err` is the code to leave with.
pub fn load_server(info: ProgramInfo) -> Result<local_settings::LocalSettings, process::ExitCode> {
    let matches = match parse(info, server_options()) {
        ParsedArguments::Run(matches) => matches,
        ParsedArguments::Exit(code) => return Err(process::ExitCode::from(code)),
    };
    let Some(file) = matches.opt_str("settings") else {
        eprintln!("{}: -s FILE is needed\nTry '{} --help'.", info.name, info.name);
        return Err(process::ExitCode::from(EXIT_USAGE));
    };
    let local = local_settings::LocalSettings::load(path::Path::new(&file))
        .map_err(|error| fail(info, &error))?;
    if matches.opt_present("check") {
        println!("{file}: valid");
        return Err(process::ExitCode::from(EXIT_SUCCESS));
    }
    Ok(local)
}

/// Sets logging up and runs a server to its end.
pub fn serve<F, Fut, E>(
    info: ProgramInfo,
    local: local_settings::LocalSettings,
    run: F,
) -> process::ExitCode
where
    F: FnOnce(local_settings::LocalSettings) -> Fut,
    Fut: Future<Output = Result<(), E>>,
    E: fmt::Display,
{
    if let Err(error) = logging::install(&local.log) {
        return fail(info, &error);
    }
    match own_process::run(run(local)) {
        Ok(Ok(())) => process::ExitCode::from(EXIT_SUCCESS),
        Ok(Err(error)) => fail(info, &error),
        Err(error) => fail(info, &error),
    }
}
