import type { Clock, HostId, ServiceName, SoftwareVersion } from "@ibislanding/core";
import type { VersionCounts } from "@ibislanding/gateway";
import { countRows } from "../countRows";
import type { RolloutEvidence } from "./rolloutEvidence";

/** Service, version and route. */
const KEY_LENGTH = 3;

/** Time for which the counters of a host are kept that no longer reports: longer than the longest order. */
const RETENTION_MS = 3_900_000;

/** Creates evidence to which only this host has contributed; `ownCounts` returns its counters. */
export const createRolloutEvidence = (
    clock: Clock,
    ownCounts: () => readonly VersionCounts[],
): RolloutEvidence => {
    const peers = new Map<HostId, { readonly counts: readonly VersionCounts[]; readonly receivedAtMs: number; }>();

    const countsOf = (service: ServiceName): readonly VersionCounts[] =>
        countRows.add(KEY_LENGTH, [ownCounts(), ...[...peers.values()].map(({ counts }) => counts)])
            .filter(([name]) => name === service);

    return {
        observePeer: (hostId, counts) => {
            const nowMs = clock.monotonicMs();
            if (counts.length === 0 && !peers.has(hostId)) {
                return;
            }
            peers.set(hostId, { counts, receivedAtMs: nowMs });
            [...peers].filter(([, { receivedAtMs }]) => nowMs - receivedAtMs > RETENTION_MS).forEach(([ended]) =>
                peers.delete(ended)
            );
        },
        evidenceOf: service =>
            countsOf(service)
                // Requests from before counting began are no evidence.
                .filter(([, , route]) => route !== "")
                .map(([, version, route, sent, answers, failures, slow]) => ({
                    service,
                    version: version as SoftwareVersion,
                    route,
                    sent,
                    answers,
                    failures,
                    slow,
                })),
        runningExcept: (service, version) =>
            countsOf(service)
                .filter(([, counted]) => counted !== version)
                .reduce((sum, [, , , sent, , , , ended]) => sum + Math.max(0, sent - ended), 0),
    };
};
