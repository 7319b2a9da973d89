//! Suggestions for mistyped words.

/// Returns the known word with the smallest edit distance to `word`; `None` if that distance
/// exceeds a third of the length of `word`, rounded up (or 1, if `word` is empty).
pub fn closest_match<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let max_distance = word.chars().count().div_ceil(3).max(1);
    known
        .map(|candidate| (edit_distance(word, candidate), candidate))
        .filter(|(distance, _)| *distance <= max_distance)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Levenshtein distance in characters.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(row[j + 1] + 1);
        }
    }
    row[b.len()]
}
