import type { Failure, UpstreamId } from "@ibislanding/core";
import type { UpstreamRecord } from "@ibislanding/platform";
import type { RoutingState } from "@ibislanding/routing";
import type { EngineClient, ServiceClient } from "@ibislanding/upstreams";
import type { Result } from "ts-results";

/** Upstreams that this host uses, kept current by polling. */
export interface UpstreamDirectory extends AsyncDisposable {
    readonly routing: RoutingState;
    readonly record: (upstreamId: UpstreamId) => UpstreamRecord | undefined;
    readonly engine: (upstreamId: UpstreamId) => EngineClient | undefined;
    readonly service: (upstreamId: UpstreamId) => ServiceClient | undefined;
    /** Reloads the host list; on failure the last known list stays in use. */
    readonly refresh: () => Promise<Result<void, Failure>>;
    /** Marks an upstream as leaving, with the time at which it stops if that is known. */
    readonly markLeaving: (upstreamId: UpstreamId, deadlineWallMs: number | undefined) => void;
    /**
     * Calls `onDue` `leadMs` before a leaving upstream stops, and again each time that its deadline is reported
     * after that. Returns the function that cancels.
     */
    readonly watchLeaving: (upstreamId: UpstreamId, leadMs: number, onDue: () => void) => () => void;
    /** Returns the known upstreams with their load and deadlines, for the state dump of the host. */
    readonly stateDump: () => unknown;
}
