/** Declared properties of the service that runs an action. */
export interface ServiceCapabilities {
    /** Whether an action may run twice without harm. */
    readonly repeatable: boolean;
    /** Whether the service recognises a repeated idempotency key. */
    readonly deduplicates: boolean;
}
