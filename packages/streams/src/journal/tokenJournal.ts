/** Tokens of one answer in order, with a digest of them. */
export interface TokenJournal {
    /** Adds a token; returns `duplicate` for an index it already has and `gap` for one beyond the next. */
    readonly append: (index: number, text: string) => "added" | "duplicate" | "gap";
    readonly tokens: () => readonly string[];
    /** Digest of all tokens so far. */
    readonly digest: () => string;
}
