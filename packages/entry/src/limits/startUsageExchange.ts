import type { Clock } from "@ibislanding/core";
import { applyEntryHosts, applyUsageReport, createUsageReport, type LimitsState } from "@ibislanding/limits";
import type { Membership } from "@ibislanding/membership";

const PERIOD_MS = 250;

/** Exchanges the use of the client accounts with the other entry hosts; disposing of it ends the exchange. */
export const startUsageExchange = (limits: LimitsState, membership: Membership, clock: Clock): AsyncDisposable => {
    const stopping = new AbortController();

    const exchange = (): void => {
        const nowMs = clock.monotonicMs();
        const hosts = membership.members().filter(({ role, state }) => role === "entry" && state !== "leaving");
        applyEntryHosts(limits, hosts.map(({ hostId }) => hostId));
        membership.usages().forEach(report => applyUsageReport(limits, report, nowMs));
        membership.publishUsages(createUsageReport(limits, nowMs));
    };

    const run = async (): Promise<void> => {
        while (!stopping.signal.aborted) {
            exchange();
            await clock.sleep(PERIOD_MS, stopping.signal);
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
