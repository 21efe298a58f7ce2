/** Key with its value and version. */
export interface KeyValueEntry {
    readonly key: string;
    /** UTF-8 text of at most 1 MB. */
    readonly value: string;
    /** Store-wide revision of the last change of this key; always positive. */
    readonly version: number;
}
