/** A running host. */
export interface EdgeHost extends AsyncDisposable {
    /** Takes no new callers, finishes the requests in hand and resolves when they ended or the time is over. */
    readonly stop: () => Promise<void>;
}
