/** Declared properties of the model engines of a service. */
export interface EngineSpec {
    /** Maximum number of concurrent requests per engine. */
    readonly slots: number;
    /** Capacity of the KV cache in tokens, shared by running requests and cached prefixes. */
    readonly cacheTokens: number;
    /** Whether an engine can copy the KV cache of a running request to another engine. */
    readonly supportsMoves: boolean;
}
