import type { EngineJob } from "./engineJob";

/** Callbacks by which a fake engine reports the progress of its jobs. */
export interface EngineObserver {
    readonly onStarted: (job: EngineJob, nowMs: number) => void;
    readonly onFirstToken: (job: EngineJob, nowMs: number) => void;
    readonly onFinished: (job: EngineJob, nowMs: number) => void;
}
