import type { EngineSequence } from "./engineSequence";
import type { EngineStatistics } from "./engineStatistics";

/** Continuous-batching scheduler of an engine; performs no I/O itself. */
export interface EngineCore {
    readonly submit: (sequence: EngineSequence) => void;
    readonly find: (requestId: string) => EngineSequence | undefined;
    readonly cancel: (requestId: string) => void;
    /** Runs one scheduler iteration: removes expired sequences, admits queued ones, decodes and prefills. */
    readonly iterate: (nowMs: number) => void;
    readonly statistics: () => EngineStatistics;
    readonly runningSequences: () => number;
    readonly queuedSequences: () => number;
    readonly queuedPromptTokens: () => number;
    /** Counts a request that was refused the given time after the engine started draining. */
    readonly countRefusal: (afterLeavingMs: number) => void;
}
