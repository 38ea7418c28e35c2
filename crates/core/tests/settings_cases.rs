//! Parsing and resolution of settings documents. Each folder in `settings_cases/` is a case.
//!
//! The file `input.yaml` is the document. Each line of the optional file `ask` is a caller key and a
//! prompt length. The file `expected` contains the error, or the settings resolved for these lines.

use std::{fmt::Write as _, fs, path};

use slipturn_core::{settings, units};

fn settings_case(input: &path::Path) -> datatest_stable::Result<()> {
    let folder = input.parent().ok_or("a case is a folder")?;
    let found = match settings::SettingsTree::parse(&fs::read_to_string(input)?) {
        Ok(tree) => {
            resolve_all(&tree, &fs::read_to_string(folder.join("ask")).unwrap_or_default())?
        }
        Err(error) => format!("{error}\n"),
    };
    let expected = fs::read_to_string(folder.join("expected"))?;
    if found == expected {
        return Ok(());
    }
    Err(format!("found:\n{found}\nexpected:\n{expected}").into())
}

/// Resolves the settings for each line of an `ask` file.
fn resolve_all(
    tree: &settings::SettingsTree,
    requests: &str,
) -> Result<String, Box<dyn std::error::Error>> {
    let mut text = format!("version {}\n", tree.version);
    for request in requests.lines() {
        let fields: Vec<_> = request.split(' ').collect();
        let [key, prompt] = fields.as_slice() else { return Err("ask: KEY PROMPT".into()) };
        writeln!(text, "{request}:")?;
        let prompt: units::TokenCount = prompt.parse()?;
        let resolved = tree.identify(key).and_then(|caller| tree.resolve(&caller, prompt));
        let Some(resolved) = resolved else {
            writeln!(text, "  nobody")?;
            continue;
        };
        let class = resolved.class.as_ref().map_or("-", |class| class.as_str());
        writeln!(text, "  {} {} {class}", resolved.customer, resolved.application)?;
        for (option, value, source) in resolved.rows() {
            writeln!(text, "  {option} = {value} from {source}")?;
        }
    }
    Ok(text)
}

datatest_stable::harness! {
    { test = settings_case, root = "tests/settings_cases", pattern = r"input\.yaml$" },
}
