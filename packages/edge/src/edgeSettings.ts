import type { AvailabilityZone, HostId } from "@ibislanding/core";

/** Where a host listens and the bounds that it keeps to. */
export interface EdgeSettings {
    /** Name of the host, the same after a restart. */
    readonly hostName: string;
    /** Id of this process; a restarted one has another. */
    readonly hostId: HostId;
    readonly availabilityZone: AvailabilityZone;
    /** Availability zones of the deployment. */
    readonly availabilityZones: readonly AvailabilityZone[];
    /** `ip:port` of each listener. */
    readonly listen: { readonly callers: string; readonly readiness: string; readonly peers: string; };
    /** Addresses of a few hosts, which may be stale. */
    readonly seedAddresses: readonly string[];
    /** Time from the request to stop until the process is killed. */
    readonly graceMs: number;
    readonly leaseMs: number;
    /** Time in which a change that was accepted must be in force at every host. */
    readonly inForceMs: number;
    readonly retryBudget: { readonly ratio: number; readonly slack: number; readonly windowMs: number; };
    /** Window over which accounts' limits hold, and units by which an account may exceed its limit in it. */
    readonly accountLimits: { readonly windowMs: number; readonly slackUnits: number; };
    readonly usage: { readonly windowMs: number; readonly dueMs: number; };
    readonly duties: { readonly usage: boolean; readonly scaling: boolean; };
}
