import type { ServiceName } from "@ibislanding/core";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";

/** The part of upstreams' slots that belongs to this host. */
export interface SlotShares {
    /** Number of slots of the upstream that belong to this host if the given number is divided among all hosts. */
    readonly shareOf: (upstream: Pick<UpstreamRecord, "service" | "upstreamId">, slots: number) => number;
    /** Whether this host is among the given number of hosts that are first in the order of the upstream. */
    readonly isAmongFirst: (upstream: Pick<UpstreamRecord, "service" | "upstreamId">, count: number) => boolean;
    /** Sum of this host's shares of all upstreams of the service. */
    readonly ownSlots: (service: ServiceName) => number;
    /** Addresses of the hosts that have slots of the service if this host has none; empty otherwise. */
    readonly otherOwners: (service: ServiceName) => readonly string[];
    /** Forgets all divisions, when no upstream is restricted. */
    readonly clear: () => void;
}
