import type { ServiceName } from "@ibislanding/core";
import type { RouteKind } from "./routeKind";

/** Declaration of a route. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Whether an interrupted stream may be resumed at another upstream. */
    readonly isResumable: boolean;
    /** Maximum time until the end of the response. */
    readonly timeoutMs: number;
    /** Target time to the complete response, or to the first event of a stream. */
    readonly objectiveMs: number;
    /** Largest useful gap between events of a stream; undefined if none is stated. */
    readonly gapTargetMs?: number | undefined;
    /** Maximum number of upstreams on which one request may run. */
    readonly maximumAttempts: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly allowsAnonymous: boolean;
    readonly destinations: readonly { readonly service: ServiceName; readonly weight: number; }[];
}
