import type { AvailabilityZone, HostId } from "@ibislanding/core";
import type { RolloutBounds } from "@ibislanding/rollouts";

/** Identity, listeners, limits and enabled duties of a host. */
export interface EdgeSettings {
    /** Name of the host; unchanged after a restart. */
    readonly hostName: string;
    /** Id of this process; changes with each restart. */
    readonly hostId: HostId;
    readonly availabilityZone: AvailabilityZone;
    /** Processing capacity of the host, in cores of the reference speed. */
    readonly processorCores: number;
    /** Memory that the process of the host may use. */
    readonly memoryBytes: number;
    /** Files and sockets that the process of the host may have open. */
    readonly maximumDescriptors: number;
    /** Availability zones of the deployment. */
    readonly availabilityZones: readonly AvailabilityZone[];
    /**
     * `ip:port` of each listener. With `relay`, for requests that cut-off hosts relay, this host takes such requests and
     * relays its own when it is cut off; without it, it does neither.
     */
    readonly listen: {
        readonly callers: string;
        readonly readiness: string;
        readonly peers: string;
        readonly relay?: string | undefined;
    };
    /** Addresses of a few hosts to contact first; may be stale. */
    readonly seedAddresses: readonly string[];
    /** Time between the stop request and the kill of the process. */
    readonly graceMs: number;
    readonly leaseMs: number;
    /** Time within which an accepted change must be in force on every host. */
    readonly inForceMs: number;
    readonly retryBudget: { readonly ratio: number; readonly slack: number; readonly windowMs: number; };
    /** Window over which account limits apply, and units by which an account may exceed its limit in it. */
    readonly accountLimits: { readonly windowMs: number; readonly slackUnits: number; };
    readonly usage: { readonly windowMs: number; readonly dueMs: number; };
    /** Bounds on what a bad version receives while it is rolled out; undefined if versions are not rolled out. */
    readonly rollouts: RolloutBounds | undefined;
    readonly duties: { readonly usage: boolean; readonly scaling: boolean; };
}
