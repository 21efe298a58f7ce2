/** What is declared of the model engines of a service. */
export interface EngineSpec {
    /** Requests that an engine runs at once. */
    readonly slots: number;
    /** Tokens that running requests and the prefix cache share. */
    readonly cacheTokens: number;
    /** Whether an engine can copy a running request's memory to another. */
    readonly supportsMoves: boolean;
}
