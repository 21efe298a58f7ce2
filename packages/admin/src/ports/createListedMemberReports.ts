import type { Clock } from "@ibislanding/core";
import type { Membership } from "@ibislanding/membership";
import type { HostList } from "@ibislanding/platform";
import type { ListedMemberReports } from "./listedMemberReports";
import type { MemberReport } from "./memberReport";

/** Interval at which the host list is read. */
const HOST_LIST_INTERVAL_MS = 5_000;

/** Time for which a listed host without a gossip report counts as an expected member. */
const UNREPORTED_HOST_GRACE_MS = 10_000;

interface ListedReportsOptions {
    readonly membership: Pick<Membership, "members">;
    readonly hostList: Pick<HostList, "listSystemHosts">;
    readonly clock: Clock;
}

interface ListedHost {
    readonly report: MemberReport;
    readonly listedSinceMs: number;
}

/**
 * Creates the adapter that combines gossip reports with the host list.
 *
 * A process that has just started has reports of only some members. Listed hosts without a report are returned with
 * revision 0, so that no revision counts as in force until they report. The host list lags behind and may name hosts
 * that are gone, so a host without a report is dropped after a grace period.
 */
export const createListedMemberReports = (
    { membership, hostList, clock }: ListedReportsOptions,
): ListedMemberReports => {
    const stopping = new AbortController();
    let listed: ReadonlyMap<string, ListedHost> = new Map();

    const readList = async (): Promise<void> => {
        const hosts = await hostList.listSystemHosts();
        if (hosts.err) {
            return;
        }
        listed = new Map(hosts.val.map(({ hostId, role, availabilityZone }) => {
            const report = { hostId, role, availabilityZone, configurationRevision: 0, state: "unheard" };
            const listedSinceMs = listed.get(hostId)?.listedSinceMs ?? clock.monotonicMs();
            return [hostId, { report, listedSinceMs }];
        }));
    };

    const pollHostList = async (): Promise<void> => {
        while (!stopping.signal.aborted) {
            await readList();
            await clock.sleep(HOST_LIST_INTERVAL_MS, stopping.signal);
        }
    };
    const polling = pollHostList();

    return {
        list: () => {
            const members = membership.members();
            const known = new Set<string>(members.map(({ hostId }) => hostId));
            const unreported = [...listed.values()]
                .filter(({ listedSinceMs }) => clock.monotonicMs() - listedSinceMs < UNREPORTED_HOST_GRACE_MS)
                .filter(({ report }) => !known.has(report.hostId))
                .map(({ report }) => report);
            const reported = members.map(({ hostId, role, availabilityZone, configurationRevision, state }) => ({
                hostId,
                role,
                availabilityZone,
                configurationRevision,
                state,
            }));
            return [...reported, ...unreported];
        },
        [Symbol.asyncDispose]: async () => {
            stopping.abort();
            await polling;
        },
    };
};
