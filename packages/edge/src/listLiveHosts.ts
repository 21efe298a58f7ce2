import { HOST_EXPIRY_MS } from "./hostExpiryMs";

/**
 * Part of the hosts that reported within the last minute that may be silent at once as gone. If more of them are, this host
 * has lost contact itself: each host would otherwise take the shares of all others while these still use them.
 */
const MAXIMUM_SILENT_SHARE = 0.5;

/**
 * Returns the addresses of the hosts that are presumed live, including the own one. Registered hosts count without a
 * report in a large group, where only collectors report to all, and for a while after the start of this process. With
 * `keepsSilentMajority`, all hosts with a known report count while most are silent, until the exchange drops the reports.
 */
export const listLiveHosts = (
    { ownAddress, registered, reports, isLargeGroup, uptimeMs, nowMs, keepsSilentMajority }: {
        readonly ownAddress: string;
        readonly registered: readonly string[];
        readonly reports: readonly { readonly address: string; readonly reportedAtMs: number; }[];
        readonly isLargeGroup: boolean;
        readonly uptimeMs: number;
        readonly nowMs: number;
        readonly keepsSilentMajority: boolean;
    },
): readonly string[] => {
    const peers = reports.filter(({ address }) => address !== ownAddress);
    const known = new Set(peers.map(({ address }) => address));
    const reporting = new Set(
        peers.filter(({ reportedAtMs }) => nowMs - reportedAtMs < HOST_EXPIRY_MS).map(({ address }) => address),
    );
    const isContactLost = known.size - reporting.size > known.size * MAXIMUM_SILENT_SHARE;
    const isRegistrationTrusted = isLargeGroup || uptimeMs < HOST_EXPIRY_MS;
    return [
        ...new Set([
            ownAddress,
            ...(keepsSilentMajority && isContactLost ? known : reporting),
            ...(isRegistrationTrusted ? registered : []),
        ]),
    ];
};
