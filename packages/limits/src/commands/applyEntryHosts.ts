import type { HostId } from "@ibislanding/core";
import type { LimitsState } from "../state/limitsState";

/**
 * Sets the list of entry hosts. Omit a host only after an orderly leave or when the host list shows it as gone: a host
 * that merely stopped reporting may be on the other side of a network partition and still use its share.
 */
export const applyEntryHosts = (state: LimitsState, hostIds: readonly HostId[]): void => {
    const listed = new Set(hostIds.filter(hostId => hostId !== state.hostId));
    [...state.peers.keys()].filter(hostId => !listed.has(hostId)).forEach(hostId => state.peers.delete(hostId));
    [...listed].filter(hostId => !state.peers.has(hostId)).forEach(hostId => state.peers.set(hostId, undefined));
};
