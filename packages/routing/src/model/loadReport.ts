/** Load of an engine at the time of measurement, which precedes the arrival of the report. */
export interface LoadReport {
    readonly upstreamId: string;
    readonly runningSequences: number;
    readonly queuedSequences: number;
    /** Prompt tokens waiting for prefill. */
    readonly queuedPromptTokens: number;
    readonly concurrentSequences: number;
    readonly prefillTokensPerSecond: number;
    readonly leaving: boolean;
    /** Versions of the loaded models, by model name. */
    readonly modelVersions: Readonly<Record<string, string>>;
    readonly adapters: readonly string[];
}
