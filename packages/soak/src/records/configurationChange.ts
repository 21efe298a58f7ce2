/** A configuration version that the store acknowledged. */
export interface ConfigurationChange {
    readonly version: number;
    readonly acceptedAtMs: number;
    /** Service to which this version points the moving route. */
    readonly movingService: string;
}
