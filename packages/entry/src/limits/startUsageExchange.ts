import type { Clock, HostId } from "@ibislanding/core";
import { applyEntryHosts, applyUsageReport, createUsageReport, type LimitsState } from "@ibislanding/limits";
import type { Membership } from "@ibislanding/membership";

const EXCHANGE_PERIOD_MS = 250;

/**
 * Time for which an unreachable host keeps its share of the limits. It may be on the other side of a network partition
 * and still admit requests against that share; a host that left gracefully loses its share immediately.
 */
const SILENT_HOST_RETENTION_MS = 7_200_000;

/** Exchanges client account usage with the other entry hosts periodically; disposing of the result stops it. */
export const startUsageExchange = (limits: LimitsState, membership: Membership, clock: Clock): AsyncDisposable => {
    const stopping = new AbortController();

    const lastSeenAtMs = new Map<HostId, number>();

    const updateEntryHosts = (nowMs: number): void => {
        const entries = membership.members().filter(({ role }) => role === "entry");
        entries.filter(({ state }) => state !== "dead").forEach(({ hostId }) => lastSeenAtMs.set(hostId, nowMs));
        entries.filter(({ state }) => state === "leaving").forEach(({ hostId }) => lastSeenAtMs.delete(hostId));
        [...lastSeenAtMs].filter(([, atMs]) => nowMs - atMs > SILENT_HOST_RETENTION_MS).forEach(([hostId]) =>
            lastSeenAtMs.delete(hostId)
        );
        applyEntryHosts(limits, [...lastSeenAtMs.keys()]);
    };

    const exchange = (): void => {
        const nowMs = clock.monotonicMs();
        updateEntryHosts(nowMs);
        membership.usages().forEach(report => applyUsageReport(limits, report, nowMs));
        membership.publishUsages(createUsageReport(limits, nowMs));
    };

    const run = async (): Promise<void> => {
        while (!stopping.signal.aborted) {
            exchange();
            await clock.sleep(EXCHANGE_PERIOD_MS, stopping.signal);
        }
    };

    const running = run();
    return {
        [Symbol.asyncDispose]: async () => {
            stopping.abort();
            await running;
        },
    };
};
