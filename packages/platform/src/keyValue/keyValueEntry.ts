/** One key with its value. */
export interface KeyValueEntry {
    readonly key: string;
    /** UTF-8 text of at most 1 MB. */
    readonly value: string;
    /** Store-wide modification number of the last change of this key; always positive. */
    readonly version: number;
}
