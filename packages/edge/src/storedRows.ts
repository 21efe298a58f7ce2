/** Keeps a list of rows that hosts share in the platform's store. */
export interface StoredRows extends AsyncDisposable {
    /** Whether the list has been read, or the first attempt to read it has failed. */
    readonly isLoaded: () => boolean;
    /** Whether the list has been read. */
    readonly isRead: () => boolean;
}
