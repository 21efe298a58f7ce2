/** Latest state reported by an engine. */
export interface EngineReport {
    readonly modelVersions: Readonly<Record<string, string>>;
    readonly adapters: readonly string[];
    readonly role: string;
    readonly leaving: boolean;
    readonly runningSequences: number;
    readonly queuedSequences: number;
}
