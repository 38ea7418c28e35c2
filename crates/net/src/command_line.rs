//! Command lines of the programs: common options and exit codes.

use std::{fmt, path, process};

use crate::{local_settings, logging, process as own_process};

/// The program has done what it was asked.
pub const EXIT_GOOD: u8 = 0;
/// The program has failed.
pub const EXIT_FAILED: u8 = 1;
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
pub enum ParsedLine {
    /// Run with these options.
    Run(getopts::Matches),
    /// Leave with this code; what there was to say has been said.
    Leave(u8),
}

/// Reads the command line; handles `--help`, `--version` and wrong usage.
pub fn parse(info: ProgramInfo, mut options: getopts::Options) -> ParsedLine {
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{}: {error}\nTry '{} --help'.", info.name, info.name);
            return ParsedLine::Leave(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") {
        let brief = format!("{}\n\nUsage: {} {}", info.about, info.name, info.arguments);
        print!("{}", options.usage(&brief));
        return ParsedLine::Leave(EXIT_GOOD);
    }
    if matches.opt_present("version") {
        println!("{} {}", info.name, info.version);
        return ParsedLine::Leave(EXIT_GOOD);
    }
    ParsedLine::Run(matches)
}

/// Options of the programs that serve.
pub fn server_options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("s", "settings", "local settings file (YAML)", "FILE");
    options.optflag("", "check", "check the settings file and exit");
    options
}

/// Says what went wrong and gives the exit code for it.
pub fn fail(info: ProgramInfo, error: &dyn fmt::Display) -> process::ExitCode {
    eprintln!("{}: {error}", info.name);
    process::ExitCode::from(EXIT_FAILED)
}

/// Reads a server's command line and its local settings. `Err` is the code to leave with.
pub fn load_server(info: ProgramInfo) -> Result<local_settings::LocalSettings, process::ExitCode> {
    let matches = match parse(info, server_options()) {
        ParsedLine::Run(matches) => matches,
        ParsedLine::Leave(code) => return Err(process::ExitCode::from(code)),
    };
    let Some(file) = matches.opt_str("settings") else {
        eprintln!("{}: -s FILE is needed\nTry '{} --help'.", info.name, info.name);
        return Err(process::ExitCode::from(EXIT_USAGE));
    };
    let local = local_settings::LocalSettings::load(path::Path::new(&file))
        .map_err(|error| fail(info, &error))?;
    if matches.opt_present("check") {
        println!("{file}: valid");
        return Err(process::ExitCode::from(EXIT_GOOD));
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
        Ok(Ok(())) => process::ExitCode::from(EXIT_GOOD),
        Ok(Err(error)) => fail(info, &error),
        Err(error) => fail(info, &error),
    }
}
