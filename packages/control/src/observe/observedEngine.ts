import type { EngineClient, EngineLoad } from "@ibislanding/upstreams";

/** The connection to an engine and what it last reported. */
export interface ObservedEngine {
    readonly client: Pick<EngineClient, "load" | "order"> & AsyncDisposable;
    load: EngineLoad | undefined;
    /** Monotonic time of the last answer, or of the first question. */
    lastResponseAtMs: number;
}
