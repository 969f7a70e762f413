//! The capacity page: its deduplicated blocks are written from the kept runs of the slopes, and nothing else.
//!
//! A block lies between `<!-- capacity:NAME -->` and `<!-- end -->`. Outside the blocks a line with a number names where
//! that is from.

pub mod evidence;
pub mod needs;
mod tables;
pub mod target;

use evidence::Evidence;
use quillhub_scale::plan::Slope;
use std::path::Path;

const BEGINS: &str = "<!-- capacity:";
const CLOSES: &str = " -->";
const ENDS: &str = "<!-- end -->";
/// Words by which a line outside the blocks names where its numbers are from.
const SOURCES: [&str; 4] = ["operators", "estimate:", "issue ", "`experiments/"];

/// The text of the block `name`, from the runs.
fn block(name: &str, evidence: &Evidence) -> Result<String, String> {
    if name == "machine" {
        return tables::machine(evidence);
    }
    if name == "missing" {
        return Ok(tables::missing(&needs::all(evidence)?));
    }
    if let Some(slope) = Slope::ALL.into_iter().find(|slope| name == format!("slope-{}", slope.name())) {
        return Ok(tables::slope(slope, evidence.points(slope)));
    }
    match needs::Role::ALL.into_iter().find(|role| role.block() == name) {
        Some(role) => {
            let all = needs::all(evidence)?;
            Ok(tables::needs(all.iter().filter(|need| need.role == role)))
        }
        None => Err(format!("expected a block of the capacity page, found '{name}'")),
    }
}

/// The page with all its blocks written anew; the rest stays as it is.
pub fn written(page: &str, evidence: &Evidence) -> Result<String, String> {
    let (mut new, mut lines) = (String::new(), page.lines().enumerate());
    while let Some((at, line)) = lines.next() {
        new.push_str(line);
        new.push('\n');
        let Some(name) = line.strip_prefix(BEGINS).and_then(|rest| rest.strip_suffix(CLOSES)) else {
            continue;
        };
        let text = block(name, evidence).map_err(|what| format!("{}: {what}", at + 1))?;
        new.push_str(text.trim_end());
        new.push('\n');
        if !lines.by_ref().any(|(_, line)| line == ENDS) {
            return Err(format!("{}: expected '{ENDS}' after block '{name}', found none", at + 1));
        }
        new.push_str(ENDS);
        new.push('\n');
    }
    Ok(new)
}

/// The first line outside the blocks with a number and no source, with its line number.
pub fn unsourced(page: &str) -> Option<(usize, &str)> {
    let mut inside = false;
    page.lines().enumerate().find_map(|(at, line)| {
        inside = (inside || line.starts_with(BEGINS)) && line != ENDS;
        let numbers = line.chars().any(|letter| letter.is_ascii_digit());
        let sourced = SOURCES.iter().any(|source| line.contains(source));
        (!inside && numbers && !sourced && !line.starts_with('#')).then_some((at + 1, line))
    })
}

/// The first line in which two pages differ: its number, and how each has it.
fn difference<'a>(found: &'a str, expected: &'a str) -> Option<(usize, &'a str, &'a str)> {
    let (mut found, mut expected) = (found.lines(), expected.lines());
    let mut at = 0;
    loop {
        at += 1;
        match (found.next(), expected.next()) {
            (None, None) => return None,
            (one, other) if one != other => return Some((at, one.unwrap_or(""), other.unwrap_or(""))),
            _ => {}
        }
    }
}

/// Whether the page at `path` is what the runs below `results` make of it.
pub fn check(path: &Path, results: &Path) -> Result<(), String> {
    let page = read(path)?;
    let place = path.display();
    if let Some((line, text)) = unsourced(&page) {
        return Err(format!("{place}:{line}: expected a source of the number, found '{text}'"));
    }
    let new = written(&page, &Evidence::read(results)?).map_err(|what| format!("{place}:{what}"))?;
    match difference(&page, &new) {
        Some((line, found, expected)) => Err(format!(
            "{place}:{line}: expected '{expected}', found '{found}'; write it with quillhub-experiment capacity"
        )),
        None => Ok(()),
    }
}

/// Writes the blocks of the page at `path` from the runs below `results`.
pub fn write(path: &Path, results: &Path) -> Result<(), String> {
    let page = read(path)?;
    let place = path.display();
    let new = written(&page, &Evidence::read(results)?).map_err(|what| format!("{place}:{what}"))?;
    std::fs::write(path, new).map_err(|e| format!("{place}: {e}"))
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}
