//! Capacity page: its blocks are generated from the kept results of the scale tests; the other lines are not changed.
//!
//! A block lies between `<!-- capacity:NAME -->` and `<!-- end -->`. Outside the blocks, a line with a number must name
//! the source of the number.

pub mod evidence;
pub mod needs;
mod tables;
pub mod target;

use evidence::Evidence;
use quillhub_scale::plan::Slope;
use std::path::Path;

const BLOCK_START: &str = "<!-- capacity:";
const BLOCK_NAME_END: &str = " -->";
const BLOCK_END: &str = "<!-- end -->";
/// Words with which a line outside the blocks names the source of its numbers.
const SOURCES: [&str; 4] = ["operators", "estimate:", "issue ", "`experiments/"];

/// Generates the text of the block `name` from the kept results.
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

/// Returns the page with all blocks generated anew and all other lines unchanged.
///
/// # Errors
///
/// Returns a message that starts with the line of a block that is unknown, has no end or lacks results.
pub fn update_blocks(page: &str, evidence: &Evidence) -> Result<String, String> {
    let (mut new, mut lines) = (String::new(), page.lines().enumerate());
    while let Some((index, line)) = lines.next() {
        new.push_str(line);
        new.push('\n');
        let Some(name) = line.strip_prefix(BLOCK_START).and_then(|rest| rest.strip_suffix(BLOCK_NAME_END))
        else {
            continue;
        };
        let text = block(name, evidence).map_err(|message| format!("{}: {message}", index + 1))?;
        new.push_str(text.trim_end());
        new.push('\n');
        if !lines.by_ref().any(|(_, line)| line == BLOCK_END) {
            return Err(format!("{}: expected '{BLOCK_END}' after block '{name}', found none", index + 1));
        }
        new.push_str(BLOCK_END);
        new.push('\n');
    }
    Ok(new)
}

/// Returns the number and the text of the first line outside the blocks that has a number but names no source.
/// Headings need none.
pub fn first_unsourced_line(page: &str) -> Option<(usize, &str)> {
    let mut in_block = false;
    page.lines().enumerate().find_map(|(index, line)| {
        in_block = (in_block || line.starts_with(BLOCK_START)) && line != BLOCK_END;
        let has_number = line.chars().any(|c| c.is_ascii_digit());
        let has_source = SOURCES.iter().any(|source| line.contains(source));
        (!in_block && has_number && !has_source && !line.starts_with('#')).then_some((index + 1, line))
    })
}

/// Returns the number of the first line in which two pages differ, and both texts of it.
fn first_difference<'a>(found: &'a str, expected: &'a str) -> Option<(usize, &'a str, &'a str)> {
    let (mut found, mut expected) = (found.lines(), expected.lines());
    let mut number = 0;
    loop {
        number += 1;
        match (found.next(), expected.next()) {
            (None, None) => return None,
            (left, right) if left != right => return Some((number, left.unwrap_or(""), right.unwrap_or(""))),
            _ => {}
        }
    }
}

/// Checks that all numbers of the page at `path` have a source, and that its blocks agree with the kept results below
/// `results`.
///
/// # Errors
///
/// Returns a message with the first line that fails the check, or if a file cannot be read.
pub fn check(path: &Path, results: &Path) -> Result<(), String> {
    let page = read(path)?;
    let place = path.display();
    if let Some((line, text)) = first_unsourced_line(&page) {
        return Err(format!("{place}:{line}: expected a source of the number, found '{text}'"));
    }
    let new =
        update_blocks(&page, &Evidence::read(results)?).map_err(|message| format!("{place}:{message}"))?;
    match first_difference(&page, &new) {
        Some((line, found, expected)) => Err(format!(
            "{place}:{line}: expected '{expected}', found '{found}'; update the page with quillhub-experiment capacity"
        )),
        None => Ok(()),
    }
}

/// Generates the blocks of the page at `path` from the kept results below `results`, and writes the page.
///
/// # Errors
///
/// Returns a message if a block cannot be generated, or a file cannot be read or written.
pub fn write(path: &Path, results: &Path) -> Result<(), String> {
    let page = read(path)?;
    let place = path.display();
    let new =
        update_blocks(&page, &Evidence::read(results)?).map_err(|message| format!("{place}:{message}"))?;
    std::fs::write(path, new).map_err(|e| format!("{place}: {e}"))
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}
