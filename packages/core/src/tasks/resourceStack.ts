/** Owns disposable resources and disposes of them in reverse order. */
export interface ResourceStack extends AsyncDisposable {
    /** Adds a resource and returns it. */
    readonly use: <T extends AsyncDisposable>(resource: T) => T;
    /** Adds an action to run at disposal. */
    readonly defer: (action: () => Promise<void> | void) => void;
}
