import type { HostId } from "@ibislanding/core";
import type { LimitsState } from "../state/limitsState";

/**
 * Takes over the list of entry hosts. Leave a host out only when it left in order or the host list shows it gone: a host
 * that is merely silent may be on the other side of a split and still spend its share.
 */
export const applyEntryHosts = (state: LimitsState, hostIds: readonly HostId[]): void => {
    const listed = new Set(hostIds.filter(hostId => hostId !== state.hostId));
    [...state.peers.keys()].filter(hostId => !listed.has(hostId)).forEach(hostId => state.peers.delete(hostId));
    [...listed].filter(hostId => !state.peers.has(hostId)).forEach(hostId => state.peers.set(hostId, undefined));
};
