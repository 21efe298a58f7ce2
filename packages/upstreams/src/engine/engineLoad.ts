/** Load reported by an engine; it is measured some time before it is sent. */
export interface EngineLoad {
    readonly upstreamId: string;
    readonly measuredAtMs: number;
    readonly runningSequences: number;
    readonly queuedSequences: number;
    readonly queuedPromptTokens: number;
    readonly concurrentSequences: number;
    readonly prefillTokensPerSecond: number;
    readonly leaving: boolean;
    /** Versions of the models that are loaded, by model name. */
    readonly modelVersions: Readonly<Record<string, string>>;
    readonly adapters: readonly string[];
    readonly role: string;
}
