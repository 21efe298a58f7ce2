import type { ServiceName } from "@ibislanding/core";
import type { RouteKind } from "./routeKind";

/** A route as the operators declared it. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Whether a broken stream may go on at another upstream. */
    readonly isResumable: boolean;
    /** Longest time until the end of the answer. */
    readonly timeoutMs: number;
    /** Time to the answer, or to the first event of a stream, that counts as in time. */
    readonly objectiveMs: number;
    /** Upstreams on which one request may run. */
    readonly maximumAttempts: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly allowsAnonymous: boolean;
    readonly destinations: readonly { readonly service: ServiceName; readonly weight: number; }[];
}
