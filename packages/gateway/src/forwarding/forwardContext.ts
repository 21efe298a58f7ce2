import type { UpstreamId } from "@ibislanding/core";
import type { EngineSpec } from "../configuration/engineSpec";
import type { AdmittedRequest } from "./admittedRequest";
import type { RequestProgress } from "./requestProgress";
import type { ServeOptions } from "./serveOptions";

/** One admitted request on its way to upstreams. */
export interface ForwardContext {
    readonly options: ServeOptions;
    readonly admitted: AdmittedRequest;
    readonly body: Buffer;
    /** Aborts when the answer is due or the caller left. */
    readonly ended: AbortSignal;
    readonly progress: RequestProgress;
    /** Headers of the caller that go to every upstream. */
    readonly forwardedHeaders: readonly (readonly [string, string])[];
    /** Set when the service's upstreams are model engines. */
    readonly engine: EngineSpec | undefined;
    /** Whether the request may run more than once. */
    readonly mayRepeat: boolean;
    /** Upstreams that refused or lost the request. */
    readonly excluded: Set<UpstreamId>;
    /** Runs that began or may have begun; a moved run is the same run. */
    runs: number;
    hasBegun: boolean;
    /** Last event that the caller has. */
    lastEventId: string | undefined;
}
