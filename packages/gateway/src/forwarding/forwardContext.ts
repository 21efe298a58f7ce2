import type { SoftwareVersion, UpstreamId } from "@ibislanding/core";
import type { VersionRule } from "@ibislanding/rollouts";
import type { RequestFeatures } from "../codec/requestFeatures";
import type { EngineSpec } from "../configuration/engineSpec";
import type { AdmittedRequest } from "./admittedRequest";
import type { RequestProgress } from "./requestProgress";
import type { ServeOptions } from "./serveOptions";

/** State of an admitted request while it is being forwarded. */
export interface ForwardContext {
    readonly options: ServeOptions;
    readonly admitted: AdmittedRequest;
    readonly body: Buffer;
    /** Aborts at the deadline or when the client disconnects. */
    readonly ended: AbortSignal;
    readonly progress: RequestProgress;
    /** Client headers that are forwarded to every upstream. */
    readonly forwardedHeaders: readonly (readonly [string, string])[];
    /** Set if the service's upstreams are model engines. */
    readonly engine: EngineSpec | undefined;
    /** Whether the request may run more than once; false once a part was sent that no other run can continue. */
    mayRepeat: boolean;
    /** Upstreams that refused the request or failed to complete it. */
    readonly excluded: Set<UpstreamId>;
    readonly features: RequestFeatures;
    /** Number of runs whose answers were lost before they had gone on. */
    lostRuns: number;
    /** Version of the software that wrote the first event that the client has of a stream. */
    softwareVersion: SoftwareVersion | undefined;
    /** Versions at which the next attempt may run; undefined until it is asked for. */
    versionRule: VersionRule | undefined;
    /** Number of runs that were started or may have been; a moved run counts once. */
    runs: number;
    /** Whether `onProcessingStarted` was called; it is called at most once per request. */
    isStartReported: boolean;
    /** Whether the admission level admits the request; undefined until that is decided. */
    isAdmittedByLevel: boolean | undefined;
    /** Whether the first event of the request was counted as served demand. */
    isServedRecorded: boolean;
    /** Whether a send of the request was counted for the retry budget. */
    isSendRecorded: boolean;
    /** Whether the run was to go on at another engine because it ran out of time; this is tried once. */
    isRelieved: boolean;
    /** Id of the last event that was sent to the client. */
    lastEventId: string | undefined;
}
