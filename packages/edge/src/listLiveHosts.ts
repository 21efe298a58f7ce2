/** A host without a report for this long no longer counts; one that is paused or cut off keeps its shares until then. */
const HOST_EXPIRY_MS = 10_000;

/**
 * Returns the addresses of the hosts that are presumed live, including the own one. Registered hosts count without a
 * report in a large group, where only collectors report to all, and for a while after the start of this process.
 */
export const listLiveHosts = (
    { ownAddress, registered, reports, isLargeGroup, uptimeMs, nowMs }: {
        readonly ownAddress: string;
        readonly registered: readonly string[];
        readonly reports: readonly { readonly address: string; readonly reportedAtMs: number; }[];
        readonly isLargeGroup: boolean;
        readonly uptimeMs: number;
        readonly nowMs: number;
    },
): readonly string[] => {
    const reporting = reports.filter(({ reportedAtMs }) => nowMs - reportedAtMs < HOST_EXPIRY_MS);
    const isRegistrationTrusted = isLargeGroup || uptimeMs < HOST_EXPIRY_MS;
    return [
        ...new Set([
            ownAddress,
            ...reporting.map(({ address }) => address),
            ...(isRegistrationTrusted ? registered : []),
        ]),
    ];
};
