/** A change that the store acknowledged. */
export interface ConfigurationChange {
    readonly version: number;
    readonly acceptedAtMs: number;
    /** Service of the route that moves with each version. */
    readonly movingService: string;
}
