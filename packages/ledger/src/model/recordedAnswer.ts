/** Answer of the upstream as the ledger keeps it. */
export interface RecordedAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Base64 text of the body; undefined when the body exceeds the size bound. */
    readonly bodyBase64: string | undefined;
}
