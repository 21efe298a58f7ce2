import type { Clock } from "@ibislanding/core";
import type { Membership } from "@ibislanding/membership";
import type { HostList } from "@ibislanding/platform";
import type { ListedMemberReports } from "./listedMemberReports";
import type { MemberReport } from "./memberReport";

/** Time between two reads of the host list. */
const HOST_LIST_INTERVAL_MS = 5_000;

/** Time for which a listed host that gossip does not know of is waited for. */
const UNHEARD_HOST_GRACE_MS = 10_000;

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
 * Creates the adapter to the members' reports.
 *
 * A process that has just started knows only some of the members. Hosts of the host list that it has not heard from
 * are reported without a revision, so that no revision counts as in force before. The list lags, so a host that stays
 * unheard is left out after a time.
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
            const unheard = [...listed.values()]
                .filter(({ listedSinceMs }) => clock.monotonicMs() - listedSinceMs < UNHEARD_HOST_GRACE_MS)
                .filter(({ report }) => !known.has(report.hostId))
                .map(({ report }) => report);
            const heard = members.map(({ hostId, role, availabilityZone, configurationRevision, state }) => ({
                hostId,
                role,
                availabilityZone,
                configurationRevision,
                state,
            }));
            return [...heard, ...unheard];
        },
        [Symbol.asyncDispose]: async () => {
            stopping.abort();
            await polling;
        },
    };
};
