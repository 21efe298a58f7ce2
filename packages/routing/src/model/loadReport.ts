/** Load that an engine measured some time before the report arrived. */
export interface LoadReport {
    readonly upstreamId: string;
    readonly runningSequences: number;
    readonly queuedSequences: number;
    /** Prompt tokens that wait to be processed. */
    readonly queuedPromptTokens: number;
    readonly concurrentSequences: number;
    readonly prefillTokensPerSecond: number;
    readonly leaving: boolean;
    /** Versions of the models that are loaded, by model name. */
    readonly modelVersions: Readonly<Record<string, string>>;
    readonly adapters: readonly string[];
}
