//! Capacity planning: computes what each role needs at full size from measured slopes, as the tables of
//! `docs/CAPACITY.md`.

mod answers;
mod assumptions;
mod fit;
mod number;
mod ramp;
mod roles;
mod sizes;
mod subset;

use std::fmt::Write;
use std::path::{Path, PathBuf};

use clap::Args;
use serde::Deserialize;

use crate::report::table;
use assumptions::{Assumption, Assumptions};
use fit::{Figure, Fit, Position, Series, Slopes};
use number::{number, percent};
use sizes::Sizes;

/// The options of the `capacity` command.
#[derive(Debug, Args)]
pub struct Options {
    /// The TOML file of measured series.
    #[arg(long, default_value = "docs/measurements/slopes.toml")]
    slopes: PathBuf,
    /// The TOML file of assumptions.
    #[arg(long, default_value = "docs/measurements/assumptions.toml")]
    assumptions: PathBuf,
    /// Replace the tables between the markers of this page instead of printing them.
    #[arg(long)]
    page: Option<PathBuf>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SlopesFile {
    series: Vec<Series>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AssumptionsFile {
    assumption: Vec<Assumption>,
}

/// A table with the name of its markers in the page.
#[derive(Debug, Clone, PartialEq)]
pub struct Block {
    name: &'static str,
    text: String,
}

/// Prints the tables, or replaces them in the page.
///
/// # Errors
/// Names the file that cannot be read, parsed or written, and the reason.
pub fn run(options: &Options) -> Result<(), String> {
    let in_file = |path: &Path, why: String| format!("{}: {why}", path.display());
    let read = |path: &Path| std::fs::read_to_string(path).map_err(|error| in_file(path, error.to_string()));
    let slopes = parse_slopes(&read(&options.slopes)?).map_err(|why| in_file(&options.slopes, why))?;
    let (list, assumptions) =
        parse_assumptions(&read(&options.assumptions)?).map_err(|why| in_file(&options.assumptions, why))?;
    let blocks = blocks(&list, &assumptions, &slopes);
    let Some(page) = &options.page else {
        blocks.iter().for_each(|block| println!("{}", with_markers(block)));
        return Ok(());
    };
    let text = fill_page(&read(page)?, &blocks).map_err(|why| in_file(page, why))?;
    std::fs::write(page, text).map_err(|error| in_file(page, error.to_string()))
}

/// Parses a slopes file and fits its series.
fn parse_slopes(text: &str) -> Result<Slopes, String> {
    let file: SlopesFile = toml::from_str(text).map_err(|error| error.to_string())?;
    Slopes::new(file.series)
}

/// Parses an assumptions file, as its list and by name.
fn parse_assumptions(text: &str) -> Result<(Vec<Assumption>, Assumptions), String> {
    let file: AssumptionsFile = toml::from_str(text).map_err(|error| error.to_string())?;
    let values = Assumptions::of(&file.assumption)?;
    Ok((file.assumption, values))
}

/// Computes all tables.
fn blocks(list: &[Assumption], assumptions: &Assumptions, slopes: &Slopes) -> Vec<Block> {
    let sizes = Sizes::new(assumptions, slopes);
    let mut blocks = vec![Block { name: "assumptions", text: assumption_table(list) }];
    blocks.extend(roles::blocks(&sizes));
    blocks.extend(answers::blocks(&sizes));
    // These come last: they list only the series that the tables above have used.
    blocks.push(Block { name: "series", text: series_table(slopes) });
    blocks.push(Block { name: "commands", text: command_list(slopes) });
    blocks
}

fn assumption_table(list: &[Assumption]) -> String {
    let row = |one: &Assumption| {
        vec![format!("`{}`", one.name), number(one.value), one.unit.clone(), one.source.clone()]
    };
    table(&["assumption", "value", "unit", "from"], &list.iter().map(row).collect::<Vec<_>>())
}

fn series_table(slopes: &Slopes) -> String {
    let head = [
        "series",
        "x",
        "measured from",
        "to",
        "each x adds",
        "at none",
        "unit",
        "error, rms",
        "most",
        "build",
    ];
    let row = |(series, fit): &(Series, Fit)| {
        let suffix = if series.curve == fit::Curve::Square { " (each x squared)" } else { "" };
        vec![
            format!("`{}`", series.name),
            series.x.clone(),
            number(fit.range.0),
            number(fit.range.1),
            format!("{}{suffix}", number(fit.slope)),
            number(fit.intercept),
            series.unit.clone(),
            percent(fit.rms),
            percent(fit.max_error),
            series.build.clone(),
        ]
    };
    table(&head, &slopes.used().into_iter().map(row).collect::<Vec<_>>())
}

fn command_list(slopes: &Slopes) -> String {
    slopes.used().into_iter().fold(String::new(), |mut text, (series, _)| {
        let points: Vec<_> =
            series.points.iter().map(|[x, y]| format!("{} {}", number(*x), number(*y))).collect();
        let _ = writeln!(
            text,
            "- `{}`: `{}`. Held: {}. Points: {}.",
            series.name,
            series.command,
            series.fixed,
            points.join("; ")
        );
        text
    })
}

/// Returns a row with a label, a figure with its unit, and the series or assumptions behind the figure.
fn row(what: &str, figure: Option<&Figure>, unit: &str) -> Vec<String> {
    let Some(figure) = figure else {
        return vec![what.to_string(), "not measured".into(), "-".into()];
    };
    vec![
        what.to_string(),
        format!("{} {unit}", number(figure.value)).trim_end().into(),
        describe_bases(figure),
    ]
}

/// Returns a row with a figure that is derived from assumptions alone.
fn assumed_row(what: &str, value: f64, unit: &str) -> Vec<String> {
    row(what, Some(&Figure::assumed(value)), unit)
}

/// Describes the series behind a figure and how far they were extrapolated.
fn describe_bases(figure: &Figure) -> String {
    let one = |basis: &fit::Basis| {
        let position = match basis.position {
            Position::Measured => "measured there".to_string(),
            Position::Inside(rms) => format!("inside, error {}", percent(rms)),
            Position::Beyond(beyond, rms) => {
                format!("extrapolated {} times, error {}", number(beyond), percent(rms))
            }
        };
        format!("`{}`, {position}", basis.series)
    };
    let mut bases: Vec<String> = figure.bases.iter().map(one).collect();
    bases.dedup();
    if bases.is_empty() {
        return "assumptions".into();
    }
    bases.join("; ")
}

/// Returns the markers before and after a table in the page.
fn markers(name: &str) -> (String, String) {
    (format!("<!-- table: {name} -->\n"), format!("<!-- end of {name} -->\n"))
}

fn with_markers(block: &Block) -> String {
    let (begin, end) = markers(block.name);
    format!("{begin}\n{}\n{end}", block.text)
}

/// Returns the page with the tables replaced between their markers.
///
/// # Errors
/// If a table has no markers, or markers have no table.
fn fill_page(page: &str, blocks: &[Block]) -> Result<String, String> {
    let mut text = page.to_string();
    for block in blocks {
        let (begin, end) = markers(block.name);
        let found = text.find(&begin).zip(text.find(&end)).filter(|(from, to)| from < to);
        let Some((from, to)) = found else {
            return Err(format!("there are no marks for the table {}", block.name));
        };
        text.replace_range(from..to + end.len(), &with_markers(block));
    }
    let unknown = |line: &&str| blocks.iter().all(|block| markers(block.name).0.trim_end() != *line);
    match text.lines().filter(|line| line.starts_with("<!-- table: ")).find(unknown) {
        Some(line) => Err(format!("no table belongs to the mark {line}")),
        None => Ok(text),
    }
}

#[cfg(test)]
mod tests;
