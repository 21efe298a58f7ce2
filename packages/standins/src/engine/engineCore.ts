import type { EngineSequence } from "./engineSequence";
import type { EngineStatistics } from "./engineStatistics";

/** Continuous batching of an engine, without any I/O. */
export interface EngineCore {
    readonly submit: (sequence: EngineSequence) => void;
    readonly find: (requestId: string) => EngineSequence | undefined;
    readonly cancel: (requestId: string) => void;
    /** Runs one iteration. */
    readonly iterate: (nowMs: number) => void;
    readonly statistics: () => EngineStatistics;
    readonly runningSequences: () => number;
    readonly queuedSequences: () => number;
    readonly queuedPromptTokens: () => number;
    /** Counts a request that was refused the given time after the engine began to leave. */
    readonly countRefusal: (afterLeavingMs: number) => void;
}
