interface CompletedCommand {
    readonly path: string;
    readonly options: readonly string[];
}

const renderCases = (commands: readonly CompletedCommand[]): string =>
    commands.map(({ path, options }) => `        ${path}) words="${options.join(" ")}" ;;`).join("\n");

const renderBash = (commands: readonly CompletedCommand[], kinds: readonly string[]): string =>
    `_ibisctl() {
    local current="\${COMP_WORDS[COMP_CWORD]}" words=""
    if [ "$COMP_CWORD" -eq 1 ]; then
        COMPREPLY=($(compgen -W "${commands.map(({ path }) => path).join(" ")}" -- "$current"))
        return
    fi
    case "\${COMP_WORDS[1]}" in
${renderCases(commands)}
    esac
    case "$current" in
        -*) COMPREPLY=($(compgen -W "$words" -- "$current")) ;;
        *) COMPREPLY=($(compgen -W "${kinds.join(" ")}" -- "$current") $(compgen -f -- "$current")) ;;
    esac
}
complete -F _ibisctl ibisctl
`;

const renderers: Readonly<Record<string, typeof renderBash>> = {
    bash: renderBash,
    zsh: (commands, kinds) => `autoload -U +X bashcompinit && bashcompinit\n${renderBash(commands, kinds)}`,
};

/** Returns the completion script for a shell; undefined when the shell is not supported. */
export const completionScript = (
    shell: string,
    commands: readonly CompletedCommand[],
    kinds: readonly string[],
): string | undefined => renderers[shell]?.(commands, kinds);
