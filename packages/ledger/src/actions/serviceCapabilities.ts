/** Declared properties of the service that runs an action. */
export interface ServiceCapabilities {
    /** Whether running an action more than once is harmless. */
    readonly repeatable: boolean;
    /** Whether the service runs an action only once when its idempotency key is repeated. */
    readonly deduplicates: boolean;
}
