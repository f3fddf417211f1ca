//! Generates a completion script for bash.

use std::fmt::Write;

use crate::table::Program;

/// Returns a script that completes subcommands word by word, and the options of each subcommand.
pub fn bash(program: &Program) -> String {
    let function = format!("_{}", program.name.replace('-', "_"));
    let mut script = format!(
        "# Bash completion for {name}; load it with: source <({name} completion)\n\
         {function}() {{\n    \
         local word=\"${{COMP_WORDS[COMP_CWORD]}}\" path=\"\" i\n    \
         COMPREPLY=()\n    \
         for ((i = 1; i < COMP_CWORD; i++)); do\n        \
         [[ ${{COMP_WORDS[i]}} == -* ]] || path+=\"${{path:+ }}${{COMP_WORDS[i]}}\"\n    \
         done\n    \
         case \"$path\" in\n",
        name = program.name
    );
    for (path, words) in paths(program) {
        let pattern = match path.as_str() {
            "" => "\"\"".to_owned(),
            path => format!("\"{path}\"*"),
        };
        // For a subcommand with arguments, bash completes file names unless an option is typed.
        let condition = match program.command(&path) {
            Some(command) if !command.arguments.is_empty() => "[[ \"$word\" != -* ]] || ",
            Some(_) | None => "",
        };
        writeln!(
            script,
            "        {pattern}) {condition}COMPREPLY=($(compgen -W \"{}\" -- \"$word\")) ;;",
            words.join(" ")
        )
        .expect("writing to a String cannot fail");
    }
    writeln!(
        script,
        "    esac\n}}\ncomplete -o default -F {function} {}",
        program.name
    )
    .expect("writing to a String cannot fail");
    script
}

/// Returns each sequence of subcommand words with the words that may follow it. Longer sequences
/// come first, because the patterns of the script match prefixes.
fn paths(program: &Program) -> Vec<(String, Vec<String>)> {
    let mut paths = Vec::new();
    for command in program.commands {
        let options = program
            .options_of(command)
            .map(|option| format!("--{}", option.long))
            .collect();
        paths.push((command.name.to_owned(), options));
        if let Some((first, _)) = command.name.split_once(' ') {
            push_word(&mut paths, first, &command.name[first.len() + 1..]);
        }
        let first = command.name.split(' ').next().unwrap_or_default();
        push_word(&mut paths, "", first);
    }
    paths.sort_by_key(|(path, _)| std::cmp::Reverse(path.len()));
    paths
}

fn push_word(paths: &mut Vec<(String, Vec<String>)>, path: &str, word: &str) {
    let index = match paths.iter().position(|(known, _)| known == path) {
        Some(index) => index,
        None => {
            paths.push((path.to_owned(), Vec::new()));
            paths.len() - 1
        }
    };
    let words = &mut paths[index].1;
    if !words.iter().any(|known| known == word) {
        words.push(word.to_owned());
    }
}
