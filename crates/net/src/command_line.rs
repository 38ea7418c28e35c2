//! Command-line parsing, tool settings files and exit codes shared by the programs.

use std::{
    collections, fmt, fs,
    io::{self, Write as _},
    path, process, str,
};

use slipturn_core::settings;

use crate::{local_settings, logging, process as own_process};

/// Exit code after a successful run, and after `--help`, `--version` and a successful `--check`.
pub const EXIT_SUCCESS: u8 = 0;
/// Exit code after any failure other than a usage error, for example an invalid local settings
/// file.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code after an invalid command line or invalid options in a tool's settings file.
pub const EXIT_USAGE: u8 = 2;

/// A program's description for `--help` and `--version`.
#[derive(Debug, Clone, Copy)]
pub struct ProgramInfo {
    /// Name of the executable, printed by `--version` and at the start of error messages.
    pub name: &'static str,
    /// Version that `--version` prints after the name.
    pub version: &'static str,
    /// Text after the program's name in the usage line of `--help`.
    pub arguments: &'static str,
    /// One-line description of the program, with which the output of `--help` starts.
    pub about: &'static str,
}

/// What a program does after its command line has been parsed.
pub enum ParsedArguments {
    /// The program runs with these options and positional arguments.
    Run(getopts::Matches),
    /// The program exits with this code. The help, version or error text has already been printed.
    Exit(u8),
}

/// Parses the arguments of the process. Prints the output of `--help` and `--version`, and errors.
pub fn parse(info: ProgramInfo, mut options: getopts::Options) -> ParsedArguments {
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => {
            print_error(format_args!("{}: {error}\nTry '{} --help'.", info.name, info.name));
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

/// Returns the options that an instance's programs accept, without `--help` and `--version`, which
/// [`parse`] adds.
pub fn server_options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("s", "settings", "local settings file (YAML)", "FILE");
    options.optflag("", "check", "check the settings file and exit");
    options
}

/// Options of a tool. Options on the command line take precedence over those in the settings file, a
/// YAML mapping of long option names to values.
#[derive(Debug)]
pub struct ToolOptions {
    matches: getopts::Matches,
    file: collections::BTreeMap<String, String>,
}

impl ToolOptions {
    /// Adds the `--settings` option, whose file [`Self::load`] reads, to the options of a tool.
    pub fn declare(options: &mut getopts::Options) {
        options.optopt("s", "settings", "YAML file with values for options not given here", "FILE");
    }

    /// Reads the settings file if `--settings` is given. `known` lists the options that the file may
    /// contain; any other is an error.
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

    /// Returns the value of an option from the command line, otherwise from the settings file; `None`
    /// if neither contains it.
    pub fn text(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name).or_else(|| self.file.get(name).cloned())
    }

    /// Parses the value of an option; returns `default` if neither the command line nor the
    /// settings file contains it.
    pub fn value<T: str::FromStr>(&self, name: &str, default: T) -> Result<T, String> {
        match self.text(name) {
            None => Ok(default),
            Some(text) => {
                text.parse().map_err(|_| format!("{name}: found '{text}', which is not valid"))
            }
        }
    }

    /// Returns whether a flag is given on the command line or is `true` in the settings file.
    pub fn flag(&self, name: &str) -> bool {
        self.matches.opt_present(name) || self.file.get(name).is_some_and(|text| text == "true")
    }

    /// Returns the arguments on the command line that belong to no option, in their order.
    pub fn positional(&self) -> Vec<&str> {
        self.matches.free.iter().map(String::as_str).collect()
    }
}

/// A value in a tool's settings file. It is converted to the text that the command line would
/// contain; the items of a list are joined by commas.
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

/// Prints a line to standard error. An output that is closed or full is ignored, where `eprintln` panics.
pub fn print_error(text: fmt::Arguments<'_>) {
    let _ = writeln!(io::stderr(), "{text}");
}

/// Prints an error, after the program's name, to standard error and returns [`EXIT_FAILURE`].
pub fn fail(info: ProgramInfo, error: &dyn fmt::Display) -> process::ExitCode {
    print_error(format_args!("{}: {error}", info.name));
    process::ExitCode::from(EXIT_FAILURE)
}

/// Reads the command line of a server and its local settings. `Err` contains the exit code of the process;
/// it is also returned after `--help`, `--version` and a successful `--check`.
pub fn load_server(info: ProgramInfo) -> Result<local_settings::LocalSettings, process::ExitCode> {
    let matches = match parse(info, server_options()) {
        ParsedArguments::Run(matches) => matches,
        ParsedArguments::Exit(code) => return Err(process::ExitCode::from(code)),
    };
    let Some(file) = matches.opt_str("settings") else {
        let name = info.name;
        print_error(format_args!("{name}: -s FILE is needed\nTry '{name} --help'."));
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

/// Installs the logger and runs a server on a new event loop until it stops. Prints an error and
/// returns [`EXIT_FAILURE`] if either fails.
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
    if let Err(error) = own_process::handle_file_size_limit() {
        return fail(info, &error);
    }
    match own_process::run(run(local)) {
        Ok(Ok(())) => process::ExitCode::from(EXIT_SUCCESS),
        Ok(Err(error)) => fail(info, &error),
        Err(error) => fail(info, &error),
    }
}
