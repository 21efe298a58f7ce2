/** Owns disposable resources and disposes of them in reverse order of registration. */
export interface ResourceStack extends AsyncDisposable {
    /** Registers a resource for disposal and returns it. */
    readonly use: <T extends AsyncDisposable>(resource: T) => T;
    /** Registers a callback to run on disposal. */
    readonly defer: (action: () => Promise<void> | void) => void;
}
