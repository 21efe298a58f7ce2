/** Append-only list of the tokens of one answer, with their digest. */
export interface TokenJournal {
    /** Appends a token; returns `duplicate` for an index already present and `gap` for one beyond the next. */
    readonly append: (index: number, text: string) => "added" | "duplicate" | "gap";
    readonly tokens: () => readonly string[];
    /** Digest of all tokens so far. */
    readonly digest: () => string;
}
