/** Requests of each account in a window, as stored before they are sent. */
export interface StoredReport {
    readonly window: number;
    readonly counts: Readonly<Record<string, number>>;
}
