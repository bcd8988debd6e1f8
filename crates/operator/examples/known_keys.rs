//! Prints the table of keys in `docs/CONFIGURATION.md`, without the descriptions.

use cyclamenloft_operator::keys::known_keys;

fn main() {
    for row in known_keys() {
        let default = row.default.as_deref().unwrap_or("none");
        println!("| `{}` | {} | {} | {default} | |", row.key, row.kind, row.expected);
    }
}
