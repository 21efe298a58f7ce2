/** Where a host would send a request now, as it states it. */
export interface RouteExplanationResponse {
    readonly configurationVersion: number;
    readonly route: string;
    readonly pathPrefix: string;
    readonly objectiveMs: number;
    readonly remainingMs: number;
    readonly priority: number;
    /** Undefined for an anonymous request. */
    readonly accountId?: string;
    readonly isDrawn: boolean;
    readonly quarantinedParts: readonly string[];
    readonly destinations: readonly {
        readonly service: string;
        readonly weight: number;
        readonly isCutOff: boolean;
        readonly versionRule: {
            readonly kind: "any" | "only" | "except";
            readonly versions: readonly string[];
            readonly upstreamIds?: readonly string[];
        };
        readonly decision:
            | {
                readonly kind: "send";
                readonly upstreamId: string;
                readonly predictedMs: number;
                readonly isFallback: boolean;
            }
            | { readonly kind: "refuse"; readonly reason: string; readonly retryAfterMs: number; }
            | { readonly kind: "unknown"; readonly reason: string; };
        readonly candidates: readonly {
            readonly upstreamId: string;
            readonly softwareVersion: string;
            readonly availabilityZone: string;
            readonly predictedMs: number;
            readonly backlogMs: number;
            readonly roundTripMs: number;
            readonly running: number;
            readonly slots: number;
            /** Undefined if the host knows only its own load. */
            readonly loadAgeMs?: number;
            readonly isLeaving: boolean;
            readonly pausedMs: number;
            readonly isEjected: boolean;
            readonly isMissing: boolean;
            readonly isAtConnectionLimit: boolean;
            readonly isVersionAllowed: boolean;
        }[];
    }[];
}
