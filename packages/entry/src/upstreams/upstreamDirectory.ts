import type { Failure, UpstreamId } from "@ibislanding/core";
import type { UpstreamRecord } from "@ibislanding/platform";
import type { RoutingState } from "@ibislanding/routing";
import type { EngineClient, ServiceClient } from "@ibislanding/upstreams";
import type { Result } from "ts-results";

/** What this host knows of the upstreams, kept current by polling. */
export interface UpstreamDirectory extends AsyncDisposable {
    readonly routing: RoutingState;
    readonly record: (upstreamId: UpstreamId) => UpstreamRecord | undefined;
    readonly engine: (upstreamId: UpstreamId) => EngineClient | undefined;
    readonly service: (upstreamId: UpstreamId) => ServiceClient | undefined;
    /** Reads the host list now; the last known list stays in use when it fails. */
    readonly refresh: () => Promise<Result<void, Failure>>;
    /** Notes that an upstream leaves, and when it stops, if known. */
    readonly markLeaving: (upstreamId: UpstreamId, deadlineWallMs: number | undefined) => void;
    /** Runs the callback once, `leadMs` before a leaving upstream stops; returns the end of the watch. */
    readonly watchLeaving: (upstreamId: UpstreamId, leadMs: number, onDue: () => void) => () => void;
    /** State for operators. */
    readonly stateDump: () => unknown;
}
