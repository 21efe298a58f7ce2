import type { CallerAttempt } from "../records/callerAttempt";
import type { CrashCause } from "../records/crashCause";
import type { SoakRecords } from "../records/soakRecords";
import type { StreamPosition } from "../records/streamPosition";
import type { SoakHost } from "./soakHost";
import type { SoakRoute } from "./soakRoute";
import type { SoakUpstream } from "./soakUpstream";
import type { StoreFault } from "./storeFault";

/** The test environment: hosts, upstreams and the store, provided by an adapter. */
export interface SoakWorld extends AsyncDisposable {
    readonly hosts: readonly SoakHost[];
    readonly upstreams: readonly SoakUpstream[];
    readonly routes: readonly SoakRoute[];
    readonly store: {
        readonly setFault: (fault: StoreFault) => void;
        readonly compact: () => void;
        /** Copies the store; returns a function that restores it from the copy. */
        readonly takeCopy: () => () => void;
    };
    /** Writes the configuration and the entries of all upstreams again, as operators and upstreams do. */
    readonly rewriteDocuments: () => void;
    /** Writes the next version of the configuration; resolves when it is accepted. */
    readonly changeConfiguration: () => Promise<void>;
    /**
     * From now on, some requests crash the upstreams that run them: requests of the streaming routes with a new prompt
     * part, or a new request that is sent again and again, on every route.
     */
    readonly sendCrashing: (kind: CrashCause["kind"]) => void;
    /** Sends a request over a caller's keep-alive connections; never rejects. */
    readonly send: (
        caller: string,
        hostIndex: number,
        route: SoakRoute,
        requestId: string,
        cancelAfterMs: number | undefined,
        takenUp: StreamPosition | undefined,
    ) => Promise<CallerAttempt>;
    /** Returns the complete body with which upstreams answer a request, after the last event that the caller has. */
    readonly expectedBody: (requestId: string, lastEventId: number) => string;
    readonly records: SoakRecords;
}
