import type { EngineJob } from "./engineJob";

/** What a fake engine tells while it runs. */
export interface EngineObserver {
    readonly onStarted: (job: EngineJob, nowMs: number) => void;
    readonly onFirstToken: (job: EngineJob, nowMs: number) => void;
    readonly onFinished: (job: EngineJob, nowMs: number) => void;
}
