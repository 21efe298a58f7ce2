import type { EngineClient, EngineLoad } from "@ibislanding/upstreams";

/** Client of an engine with the last load it reported. */
export interface ObservedEngine {
    readonly client: Pick<EngineClient, "load" | "order"> & AsyncDisposable;
    load: EngineLoad | undefined;
    /** Monotonic time of the last response; before the first response, the time the client was created. */
    lastResponseAtMs: number;
}
