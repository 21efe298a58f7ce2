import type { HostReport } from "./hostReport";

/** Returns the hosts that reach no upstream according to some reports; undefined if there is none. */
export const mergeCutOff = (reports: readonly Pick<HostReport, "cutOff">[]): HostReport["cutOff"] => {
    const addresses = new Set(reports.flatMap(({ cutOff }) => cutOff ?? []));
    return addresses.size === 0 ? undefined : [...addresses];
};
